Feature: Decisions of which request a response belongs to

  Scenario Outline: After <before>, a request with id <id> gets a response that names <named>
    Guards against responses that are taken for those of other requests.

    When a connection has carried <before> and then carries <id>, and a response names <named>
    Then the response belongs to the <request> request

    Examples:
      | before  | id   | named | request |
      | none    | a    | a     | current |
      | none    | a    | none  | current |
      | none    | a    | b     | other   |
      | none    | none | none  | current |
      | none    | none | b     | current |
      | b       | a    | a     | current |
      | b       | a    | b     | other   |
      | b       | a    | none  | unknown |
      | b c     | a    | none  | unknown |

  Scenario Outline: A connection that has carried <before> is not lent for id <id>
    Guards against connections whose responses could belong to two requests.

    When a connection has carried <before>
    Then it may not carry a request with id <id>

    Examples:
      | before       | id   |
      | a            | a    |
      | a b          | a    |
      | a            | none |
      | none         | a    |
      | none         | none |
      | 128 requests | a    |

  Scenario: No response is attributed to a request that it does not belong to
    Guards against orders of late, unnamed and repeated responses that no table has.

    When 400 histories of connections are played, with late, unnamed and repeated responses
    Then each response that belongs to the current request was made for it
