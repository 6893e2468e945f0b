Feature: Responses and streams that end with their connection

  Scenario Outline: A <kind> response without length or chunks <ends>: <found>
    Guards against truncated responses that are taken for complete.

    Given the whole path with 1 daemons
    When endpoints answer a "<kind>" request without length or chunks, and the first response <ends>
    Then the caller gets a "<found>" response, and <runs> endpoints have run the request

    Examples: plain responses
      | kind  | ends                    | found     | runs |
      | look  | ends normally           | complete  | 1    |
      | look  | is reset halfway        | complete  | 2    |
      | order | ends normally           | complete  | 1    |
      | order | is reset halfway        | broken    | 1    |

    Examples: streams; a draft may be resumed, but not a note
      | kind  | ends                    | found     | runs |
      | draft | ends normally           | complete  | 1    |
      | draft | ends within an event    | complete  | 2    |
      | draft | is reset between events | complete  | 2    |
      | note  | ends normally           | complete  | 1    |
      | note  | ends within an event    | truncated | 1    |
      | note  | is reset between events | truncated | 1    |
