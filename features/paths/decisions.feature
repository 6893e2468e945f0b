Feature: Which paths are cut is decided by what other hosts reach

  Scenario Outline: The paths of a host: <story>
    Guards against hosts that take one lost packet, or one lost endpoint, for lost links.

    Given a host that knows the endpoints a, b, c, d and e
    When these come: <events>
    Then <cut> are cut, <confirmed> surely, and its links are <links>

    Examples:
      | story                            | events                                  | cut   | confirmed | links |
      | one packet was lost              | a is cut                                | a     | none      | there |
      | the direct connection stands     | a is cut, a stands                      | none  | none      | there |
      | a path is tried twice            | a is cut, a fails                       | a     | a         | there |
      | three are cut, others stand      | a is cut, b is cut, c is cut, d stands  | a,b,c | none      | there |
      | three are cut, others fail       | a is cut, b is cut, c is cut, two fail  | a,b,c | a,b,c     | lost  |
      | two are confirmed, others fail   | a is cut, b is cut, a fails, b fails, two fail | a,b | a,b  | lost  |
      | all are cut                      | a is cut, b is cut, c is cut, none is left | a,b,c | a,b,c  | lost  |
      | one is back after all were lost  | a is cut, b is cut, c is cut, two fail, c stands | none | none | there |
      | the endpoints are gone           | a is cut, b is cut, c is cut, two fail, all go | none | none | there |

  Scenario Outline: The path to try next: <story>
    Guards against engines whose owner is found cut off late, and paths never tried again.

    Given a host that knows the endpoints a, b, c, d and e
    When these come: <events>
    Then the next to try is <next>

    Examples:
      | story                      | events                                 | next |
      | none is cut                | a stands                               | none |
      | one is not confirmed       | a is cut, b is cut, a fails            | b    |
      | all are confirmed          | a is cut, b is cut, a fails, b fails   | a    |

  Scenario Outline: Hosts to ask for a tunnel: <story>
    Guards against hosts asked again and again that cannot help.

    Given a host that knows the daemons h1 to h9, of which h9 has no links and h8 drains
    When these come: <events>
    Then <names> come first, and <left> are not asked

    Examples:
      | story                            | events                                      | names | left     |
      | those that carry least go first  | h1 carries 5, h2 carries 1, h3 carries 3    | h2,h3,h1 | h8,h9 |
      | one that refused rests           | h1 carries 5, h2 carries 1, h3 carries 3, h2 refuses | untried | h2,h8,h9 |
      | few are proven                   | h1 carries 5                                | untried | h8,h9 |

  Scenario: Where all hosts rest, those whose rest ends first are asked
    Guards against a host that asks nobody, as the few hosts with links were slow once.

    Given a host that knows the daemons h1 to h9, of which h9 has no links and h8 drains
    When these come: h3 refuses, h1 refuses, h2 refuses, h4 refuses, h5 refuses, h6 refuses, h7 refuses
    Then h3, h1 and h2 are asked
