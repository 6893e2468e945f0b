Feature: Entries of endpoints by other writers do no harm

  Scenario Outline: Entries that hypothesis makes: <kind>
    Guards against an entry that ends the follower, hides others or misleads requests.

    When <count> entries are taken that are <kind>
    Then no entry ended the follower or took another endpoint out of use
    And each endpoint in use has fields that requests and messages can carry
    And each endpoint is in use again after its server's next entry

    Examples:
      | kind                         | count |
      | any bytes                    | 300   |
      | any JSON                     | 300   |
      | good ones with a field wrong | 1500  |
      | under any name               | 300   |
      | versions with a field wrong  | 300   |

  Scenario Outline: An entry that names no endpoint that could be used: <fault>
    Guards against requests that are sent by the word of another writer.

    When an entry is taken with <field> <value>
    Then its endpoint gets no requests, and one line tells of it

    Examples:
      | fault                          | field        | value                        |
      | no version                     | version      | missing                      |
      | an unknown state               | state        | "asleep"                     |
      | an address with a zone         | address      | "[fe80::1%x\r\nHost: y]:80"  |
      | a port in other digits         | address      | "10.0.0.1:８０"                |
      | a port with a sign             | address      | "10.0.0.1:+80"               |
      | a service of two lines         | service      | "a\r\nb"                     |
      | slots without number           | slots        | true                         |
      | more slots than a daemon counts | slots       | 9007199254740993             |
      | a time that is a truth value   | cold_left_ms | false                        |
      | models that are an object      | models       | {"a": 1}                     |
      | models that are a text         | models       | "abc"                        |
      | no models                      | models       | false                        |
      | adapters that are a text       | models       | [{"name": "m", "adapters": "abc"}] |
      | adapters that are an object    | models       | [{"name": "m", "adapters": {"a@1": 1}}] |
      | an adapter without a name      | models       | [{"name": "m", "adapters": ["@1"]}] |
      | a version below zero           | models       | [{"name": "m", "adapters": ["a@-1"]}] |
      | a version with underscores     | models       | [{"name": "m", "adapters": ["a@1_0"]}] |
      | a version of 30 digits         | models       | [{"name": "m", "adapters": ["a@100000000000000000000000000000"]}] |
      | a start before all             | born         | -5                           |
      | a start in a far future        | born         | 99999999999999               |
