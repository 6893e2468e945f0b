Feature: An unmodified client library works against the daemon
  The `openai` package, as it comes from the registry, speaks to a real daemon
  on an embedded platform.

  Scenario: The list of models
    When the client library lists the models
    Then it has "refill-0@1" and "reminders"
    And the client library retrieves "refill-0@1"

  Scenario Outline: Answers, streamed and not
    When the client library asks <form> of "<model>", streamed <streamed>
    Then the text is the one right answer of "<runs on>"

    Examples:
      | form             | model      | streamed | runs on    |
      | completions      | refill-1@1 | no       | refill-1@1 |
      | completions      | refill-1@1 | yes      | refill-1@1 |
      | chat completions | refill-2@1 | no       | refill-2@1 |
      | chat completions | refill-2@1 | yes      | refill-2@1 |
      | completions      | reminders  | yes      | refill-0@1 |
      | chat completions | reminders  | no       | refill-0@1 |

  Scenario Outline: Errors come as the library's own
    When the client library meets <trouble>
    Then it raises "<error>" with status <status> and code "<code>"

    Examples:
      | trouble          | error               | status | code            |
      | an unknown model | NotFoundError       | 404    | unknown_model   |
      | a wrong key      | AuthenticationError | 401    | unauthenticated |
      | a wrong body     | BadRequestError     | 400    | bad_request     |
      | a limit          | RateLimitError      | 429    | limit           |
      | no endpoint      | InternalServerError | 503    | no_endpoint     |

  Scenario: A stream that breaks ends in an error, not in a clean end
    The engine's stream is cut in the middle of an event and cannot be
    resumed. The caller must not take the half answer for a whole one.

    When the counter streams the prompt "cut this"
    Then the last event is an error that says "unknown"
    And no event is "[DONE]"
    And every event is whole
    And the client library raises "APIError" for the same prompt
