Feature: Client accounts in the platform's protocol
  Callers send API keys; endpoints get the account of a call, and never the key.

  Background:
    Given the whole path
    And the accounts "shop" with key "k-shop" and rank 3, and "lab" with key "k-lab"

  Scenario Outline: A call is run for the account of its key: <story>
    Guards against calls that run without a key, for no account, and against a scheme in
    other letter case that is refused.

    When a call of <path> comes with <shown>
    Then it ends with <status>, and endpoints ran it for "<account>"

    Examples:
      | story                 | path    | shown                          | status | account |
      | a key                 | /look/1 | "Bearer k-shop"                | 200    | shop    |
      | another's             | /look/1 | "Bearer k-lab"                 | 200    | lab     |
      | scheme in capitals    | /look/1 | "BEARER k-shop"                | 200    | shop    |
      | no key                | /look/1 | nothing                        | 401    | nobody  |
      | an unknown key        | /look/1 | "Bearer k-none"                | 401    | nobody  |
      | a long key            | /look/1 | a key of 9000 letters          | 401    | nobody  |
      | a scheme without key  | /look/1 | "Bearer"                       | 401    | nobody  |
      | another scheme        | /look/1 | "Basic k-shop"                 | 401    | nobody  |
      | two keys              | /look/1 | "Bearer k-shop, Bearer k-lab"  | 401    | nobody  |
      | two lines             | /look/1 | the keys of both accounts      | 401    | nobody  |
      | public, no key        | /open/1 | nothing                        | 200    | nobody  |
      | public, a key         | /open/1 | "Bearer k-shop"                | 200    | shop    |
      | public, unknown key   | /open/1 | "Bearer k-none"                | 200    | nobody  |

  Scenario: An endpoint gets the account's name and rank, and no key
    Guards against callers' keys in the logs of endpoints, and against a caller that names
    another account than its own.

    When a call comes with the key "k-shop" that names the account "lab" itself
    Then the endpoint got the account "shop" alone, rank 3 and no key
    And no log line holds "k-shop"

  Scenario Outline: Changed keys take effect <where>
    Guards against a revoked key that is still accepted on a connection opened before the
    change.

    When the key "k-shop" is replaced by "k-new", <where>
    Then within 2 s "k-shop" gets 401 and "k-new" 200

    Examples:
      | where                  |
      | on new connections     |
      | on an open connection  |

  Scenario: A key that may be new is not refused while the store is unreachable
    Guards against a 401, which clients do not retry, for a new key that the daemon does
    not know because it has had no response of the store since the key was added.

    When the store has been unreachable for 2.5 s
    Then a call with the key "k-shop" ends with 200
    And a call with the key "k-none" ends with 503 and has a Retry-After

  Scenario Outline: The last valid accounts stay in force: <fault>
    When the operator writes accounts with <fault>
    Then the fault is logged
    And a call with the key "k-shop" ends with 200

    Examples:
      | fault                    |
      | a key of two accounts    |
      | a duplicate name         |
      | an unknown unit          |
      | a negative rate          |
      | no name                  |
