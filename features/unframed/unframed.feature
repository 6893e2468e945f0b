Feature: Answers and streams that end with their connection

  Scenario Outline: A <kind> answer without length or chunks <ends>: <found>
    Guards against answers that are taken for whole though their connection broke.

    Given the whole path with 1 daemons
    When endpoints answer a "<kind>" request without length or chunks, and the first <ends>
    Then the caller finds it "<found>", and <runs> endpoints have run it

    Examples: plain answers
      | kind  | ends                    | found  | runs |
      | look  | ends in order           | whole  | 1    |
      | look  | is reset in its middle  | whole  | 2    |
      | order | ends in order           | whole  | 1    |
      | order | is reset in its middle  | broken | 1    |

    Examples: streams; a draft may be resumed, a note may not
      | kind  | ends                    | found  | runs |
      | draft | ends in order           | whole  | 1    |
      | draft | ends inside an event    | whole  | 2    |
      | draft | is reset between events | whole  | 2    |
      | note  | ends in order           | whole  | 1    |
      | note  | ends inside an event    | cut    | 1    |
      | note  | is reset between events | cut    | 1    |
