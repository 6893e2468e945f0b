Feature: Detection of cut paths from what other hosts reach

  Scenario Outline: Paths of a host: <story>
    Guards against hosts that take one lost packet or endpoint for lost links.

    Given a host that knows the endpoints a, b, c, d and e
    When these events occur: <events>
    Then the paths to <cut> are cut, to <confirmed> confirmed, and its links are <links>

    Examples:
      | story                            | events                                  | cut   | confirmed | links |
      | one packet was lost              | a is cut                                | a     | none      | there |
      | a direct connection succeeds     | a is cut, a stands                      | none  | none      | there |
      | a path is tried twice            | a is cut, a fails                       | a     | a         | there |
      | three are cut, others succeed    | a is cut, b is cut, c is cut, d stands  | a,b,c | none      | there |
      | three are cut, others fail       | a is cut, b is cut, c is cut, two fail  | a,b,c | a,b,c     | lost  |
      | two are confirmed, others fail   | a is cut, b is cut, a fails, b fails, two fail | a,b | a,b  | lost  |
      | all are cut                      | a is cut, b is cut, c is cut, none is left | a,b,c | a,b,c  | lost  |
      | one recovers after all were lost | a is cut, b is cut, c is cut, two fail, c stands | none | none | there |
      | the endpoints are gone           | a is cut, b is cut, c is cut, two fail, all go | none | none | there |

  Scenario Outline: Next path to try: <story>
    Guards against late detection of owners that are cut off, and paths that are never retried.

    Given a host that knows the endpoints a, b, c, d and e
    When these events occur: <events>
    Then the next path to try is <next>

    Examples:
      | story                      | events                                 | next |
      | none is cut                | a stands                               | none |
      | one is not confirmed       | a is cut, b is cut, a fails            | b    |
      | all are confirmed          | a is cut, b is cut, a fails, b fails   | a    |

  Scenario Outline: Candidates for a tunnel: <story>
    Guards against repeated requests to hosts that cannot help.

    Given a host that knows the daemons h1 to h9, of which h9 has no links and h8 drains
    When these events occur: <events>
    Then <names> come first, and <left> are no candidates

    Examples:
      | story                            | events                                      | names | left     |
      | the least loaded come first      | h1 carries 5, h2 carries 1, h3 carries 3    | h2,h3,h1 | h8,h9 |
      | one that refused is paused       | h1 carries 5, h2 carries 1, h3 carries 3, h2 refuses | untried | h2,h8,h9 |
      | few are proven                   | h1 carries 5                                | untried | h8,h9 |

  Scenario: If all hosts have refused, those whose pause ends first are candidates
    Guards against a host without candidates because the few hosts with links were slow once.

    Given a host that knows the daemons h1 to h9, of which h9 has no links and h8 drains
    When these events occur: h3 refuses, h1 refuses, h2 refuses, h4 refuses, h5 refuses, h6 refuses, h7 refuses
    Then h3, h1 and h2 are the candidates
