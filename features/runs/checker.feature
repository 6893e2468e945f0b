Feature: The history checker finds each broken promise
  Each history below is whole but for one planted record; the checker must find
  that one promise broken, and nothing in the history without it.

  Scenario: A history that keeps all promises
    Given a history that keeps all promises
    Then the checker finds nothing

  Scenario Outline: A history with one broken promise
    Given a history that keeps all promises
    When there is planted: <planted>
    Then the checker finds only "<promise>"

    Examples:
      | planted                           | promise |
      | an answer of another adapter      | runs on the adapter and version it names |
      | a run on an older version         | runs on the adapter and version it names |
      | an eviction under a stream        | an adapter that serves is never evicted |
      | a clean end after half the answer | each caller receives the whole answer |
      | an answer that no endpoint ran    | each caller receives the whole answer |
      | a run of what was told as not run | told not run means not run |
      | a run after a refused connection  | told not run means not run |
      | an order that ran twice           | a non-idempotent request runs at most once |
      | an order that ran on two services by a repeat | a non-idempotent request runs at most once |
      | work on an endpoint 6 s after it was leaving | a leaving endpoint receives no new work |
      | an error in a graceful stop       | a graceful shutdown cuts no request in flight |
      | a stop that ends in a failure     | a graceful shutdown cuts no request in flight |
      | a connection cut by a live host   | each request gets a final answer |
      | a request never answered          | each request gets a final answer |
      | a generation that falls           | a configuration never reverts to an older one |
      | a host behind for 7 s             | an accepted configuration is in force everywhere within 6 s |
      | a generation told to two operators | one operator wins a generation |
      | an old order carried out          | an old order is not carried out where it is checked |
      | a crashing request on a third engine | a request that crashes endpoints costs two at most |

  Scenario Outline: A fault of the run excuses what it took the means for
    Given a history that keeps all promises
    When there is planted: <planted>
    And the fault "<fault>" of "<target>" lay over it
    Then the checker finds nothing

    Examples:
      | planted                         | fault      | target |
      | a connection cut by a live host | kill       | host-0 |
      | a request never answered        | freeze     | host-0 |
      | a host behind for 7 s           | store_down | store  |

  Scenario Outline: A fault elsewhere excuses nothing
    Given a history that keeps all promises
    When there is planted: <planted>
    And the fault "<fault>" of "<target>" lay over it
    Then the checker finds only "<promise>"

    Examples:
      | planted                         | fault      | target  | promise |
      | a connection cut by a live host | kill       | host-1  | each request gets a final answer |
      | a request never answered        | store_down | store   | each request gets a final answer |
      | an order that ran twice         | kill       | host-0  | a non-idempotent request runs at most once |
      | an eviction under a stream      | freeze     | host-0  | an adapter that serves is never evicted |
      | a generation that falls         | store_restored | store | a configuration never reverts to an older one |

  Scenario: A history is read back as it was written
    Given a history that keeps all promises
    When it is written and read, with a last line half written
    Then the same records stand
