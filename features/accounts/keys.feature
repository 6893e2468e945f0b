Feature: Client accounts on the platform's wire
  Callers show keys; endpoints learn whose call it is, and never the key.

  Background:
    Given the whole path
    And the accounts "shop" with key "k-shop" and rank 3, and "lab" with key "k-lab"

  Scenario Outline: A call is run for the account whose key it shows: <story>
    A caller without a key had its drafts written, for nobody's account; or one whose
    key was written in other letters was turned away.

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
    An endpoint wrote its headers to a log, with callers' keys among them; and a caller
    named another account than its own.

    When a call comes with the key "k-shop" that names the account "lab" itself
    Then the endpoint got the account "shop" alone, rank 3 and no key
    And no log line holds "k-shop"

  Scenario Outline: Changed keys are in force <where>
    A key was taken away as it had leaked. Whoever held it went on, as his connection
    was open since before.

    When the key "k-shop" is replaced by "k-new", <where>
    Then within 2 s "k-shop" gets 401 and "k-new" 200

    Examples:
      | where                  |
      | on new connections     |
      | on an open connection  |

  Scenario: A key that may be new is not refused while the store is away
    A caller got a new key, and its first call the answer 401, which no client sends
    again: the daemon had not heard from the store since before the key was named.

    When the store has been away for 2.5 s
    Then a call with the key "k-shop" ends with 200
    And a call with the key "k-none" ends with 503 and says when to come back

  Scenario Outline: The last good accounts stay in force: <fault>
    When the operator writes accounts with <fault>
    Then the fault is logged
    And a call with the key "k-shop" ends with 200

    Examples:
      | fault                    |
      | a key that two hold      |
      | one name twice           |
      | an unknown unit          |
      | a rate below zero        |
      | no name                  |
