Feature: The ledgers of crashes and suspect parts, without a network

  Scenario Outline: A request on <own> of <all> endpoints that crash within <within> s is refused: <refused>
    Guards against refusals of harmless requests where many endpoints crash together.

    When a request fails at <own> of <all> endpoints that crash within <within> s
    Then 2 s later it is refused: <refused>

    Examples:
      | own | all | within | refused |
      | 1   | 1   | 0      | no      |
      | 2   | 2   | 0.1    | yes     |
      | 2   | 3   | 0.1    | yes     |
      | 2   | 5   | 0.1    | no      |
      | 2   | 35  | 0.1    | no      |
      | 2   | 5   | 8      | yes     |

  Scenario: A request that was sent to an endpoint that had crashed already
    Guards against blame of retries at an endpoint that is gone already.

    When a request fails at two endpoints, at the second one after others failed there
    Then 2 s later it is refused: no

  Scenario Outline: A request at a crashed endpoint where <before> is blamed all the same
    Guards against calls that ended earlier and hide which one the endpoint was lost with.

    When a request fails at two endpoints, at each of which <before>
    Then 2 s later it is refused: yes

    Examples:
      | before                                   |
      | a caller disconnected 3 s before         |
      | a connection was reset 3 s before        |
      | a connection was reset, and it was alive |

  Scenario Outline: Losses of <losses> refuse <refused>
    Guards against safe parts that are refused for what ran beside them.

    Given part f is safe
    When endpoints are lost with prompts of the parts
      | losses   |
      | <losses> |
    Then of the prompts <asked> these are refused: <refused>

    Examples: losses separated by slashes, prompts by blanks, parts by dots
      | losses                        | asked           | refused |
      | f.p                           | f.p             | none    |
      | f.p / f.p                     | f.p f.q f       | f.p     |
      | f.p.r / f.p.s                 | f.p f.r f.s     | f.p     |
      | p.f / f.p                     | p f.p           | p f.p   |
      | f.p f.q / f.p                 | f.p f.q         | f.p     |
      | f.p f.q / f.p f.q             | f.p f.q         | none    |
      | f.p f.q / f.p f.q / f.p       | f.p f.q         | f.p     |
      | f.p f.q / f.p f.q / f.p f.q   | f.p f.q         | f.p f.q |
      | f.p.r / f.p.r                 | f.p f.r f.p.r   | f.p.r   |
      | f.p.r / f.p.r / f.p           | f.p f.r f.p.r   | f.p f.p.r |
      | f.p f.q / f.p / f.q           | f.p f.q         | f.p f.q |
      | f / f / f                     | f f.p           | none    |

  Scenario: One request that is lost repeatedly does not lead to refusals of its parts
    Guards against parts that are refused because one request with them crashes endpoints.

    When one request of the parts p is lost with 4 endpoints
    Then of the prompts p these are refused: none

  Scenario Outline: A part to which a response started <when>
    Guards against safe parts that stay refused.

    When a part is refused, and a response to it started <when>
    Then it is refused after that: <refused>

    Examples:
      | when                      | refused |
      | here before               | no      |
      | here after                | no      |
      | at another host after     | no      |
      | here before, the store says | no    |
      | nowhere                   | yes     |
      | nowhere, the store says   | yes     |
      | here 121 s before         | yes     |

  Scenario Outline: A part whose refusal has expired, at the host of rank <turn>
    Guards against all hosts trying a part at once when its refusal expires.

    When a part is refused at the host of rank <turn>, and prompts with it are still sent
    Then it is refused for <first> s at first, and <lost> endpoints are lost within <within> s

    Examples:
      | turn | first | within | lost |
      | 0    | 60    | 600    | 3    |
      | 0    | 60    | 6000   | 4    |
      | 1    | 65    | 600    | 3    |
      | 3    | 75    | 600    | 3    |

  Scenario Outline: The table of <many> <what> is bounded
    Guards against tables that grow without bounds.

    When <many> <what> were seen
    Then at most <kept> of them are kept, and the newest and those with most losses are

    Examples:
      | many  | what          | kept |
      | 10000 | safe parts    | 4096 |
      | 3000  | suspect parts | 1000 |

  Scenario: A loss is reported with a bounded number of calls
    Guards against messages that grow with the calls of an endpoint.

    When an endpoint is lost with 500 calls of parts of their own
    Then at most 64 calls are reported

  Scenario Outline: In a <pool> pool of <hosts> hosts a loss is reported to <told> at most
    Guards against messages that grow with the fleet.

    When a host of a <pool> pool of <hosts> hosts reports a loss with 2 calls of 3 parts each
    Then <told> hosts receive it at most, and each only the calls that it coordinates parts of

    Examples:
      | pool  | hosts | told |
      | small | 9     | 8    |
      | large | 79    | 18   |
      | large | 2100  | 18   |
