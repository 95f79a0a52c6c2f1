#include "chivefold/mesh/mesh_configuration.h"

#include "record_codec.h"
#include "request_headers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chivefold;

namespace {

Result<OperatorOrder> decode(const std::string &more) {
  const platform::OperatorRecords codec;
  return codec.decode("config",
                      R"({"version":"r3","services":[{"name":"s"}],"routes":[
          {"name":"x","hostname":"h","pathPrefix":"/x/","timeoutMs":1000,
           "service":"s","priority":2},
          {"name":"p","hostname":"h","pathPrefix":"/p/","timeoutMs":1000,
           "service":"s","priority":1,"public":true}])" +
                          more + "}");
}

RouteTable tableOf(const std::string &more) {
  const auto order = decode(more);
  REQUIRE(order);
  return RouteTable(std::get<MeshConfiguration>(*order));
}

const std::string TwoCustomers =
    R"(,"tenants":[{"name":"a","apiKeys":["k1","k2"],"priority":5},
                   {"name":"b","apiKeys":["k3"],"priority":1}])";

} // namespace

// Guards against keys that are lost, or given to another customer, on the way
// from the operator's record.
TEST_CASE("customers are decoded with their keys", "[customer_keys]") {
  const auto table = tableOf(TwoCustomers);
  const auto *keys = table.keys();
  REQUIRE(keys != nullptr);
  CHECK(keys->size() == 3);
  REQUIRE(keys->find("k2") != nullptr);
  CHECK(keys->find("k2")->Name == "a");
  CHECK(keys->find("k3")->Name == "b");
  CHECK(keys->find("k3")->Priority == 1);
  for (const auto *it : {"", "k", "k4", "k11", "K1"}) {
    CHECK(keys->find(it) == nullptr);
  }
  CHECK_FALSE(table.find("h", "/x/1")->Public);
  CHECK(table.find("h", "/p/1")->Public);
  // A configuration that has customers, although no one, knows no key.
  CHECK(tableOf(R"(,"tenants":[])").keys() != nullptr);
}

// Guards against checking keys where the configuration has none.
TEST_CASE("without customers no key is checked", "[customer_keys]") {
  const auto table = tableOf("");
  CHECK(table.keys() == nullptr);
  CHECK(table.priority(nullptr, *table.find("h", "/x/1")) == 2);
}

// Guards against a configuration that is taken by half: a customer without its
// keys would be locked out, and a shared key would be somebody else's.
TEST_CASE("customers are read whole or not at all", "[customer_keys]") {
  for (const auto *it :
       {R"({})", R"("a")", R"([1])", R"([{"name":"a"}])",
        R"([{"apiKeys":["k"]}])", R"([{"name":1,"apiKeys":["k"]}])",
        R"([{"name":"a","apiKeys":"k"}])", R"([{"name":"a","apiKeys":[1]}])",
        R"([{"name":"a","apiKeys":[""]}])",
        R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}])",
        R"([{"name":"a","apiKeys":["k","k"]}])"}) {
    INFO(it);
    CHECK_FALSE(decode(std::string(",\"tenants\":") + it));
  }
}

// Guards against a customer's request that overtakes one of a more important
// customer, and against another order among the requests of one customer.
TEST_CASE("the priority of the customer goes before that of the route",
          "[customer_keys]") {
  const auto table = tableOf(TwoCustomers);
  const auto *a = table.keys()->find("k1");
  const auto *b = table.keys()->find("k3");
  const auto &x = *table.find("h", "/x/1");
  const auto &p = *table.find("h", "/p/1");
  CHECK(table.priority(b, p) < table.priority(b, x));
  CHECK(table.priority(b, x) < table.priority(a, p));
  CHECK(table.priority(a, p) < table.priority(a, x));
  // With one level of customers, the routes decide as they do without any.
  const auto single =
      tableOf(R"(,"tenants":[{"name":"a","apiKeys":["k"],"priority":7}])");
  CHECK(single.priority(single.keys()->find("k"), *single.find("h", "/x/1")) ==
        2);
}

// Guards against a look-up by the digest alone: the holder is the customer that
// was given exactly this key.
TEST_CASE("a key is found by whoever was given it", "[customer_keys]") {
  REQUIRE(rc::check([](const std::map<std::string, std::uint8_t> &holders,
                       const std::vector<std::string> &others) {
    std::vector<MeshCustomer> customers(256);
    for (std::size_t i = 0; i < customers.size(); ++i) {
      customers[i].Name = std::to_string(i);
    }
    for (const auto &it : holders) {
      customers[it.second].Keys.push_back(it.first);
    }
    const CustomerKeys keys(customers);
    for (const auto &it : holders) {
      const auto *found = keys.find(it.first);
      RC_ASSERT(found != nullptr);
      RC_ASSERT(found->Name == std::to_string(it.second));
      RC_ASSERT(keys.holds(found->Name, digestOfKey(it.first)));
      RC_ASSERT(!keys.holds("256", digestOfKey(it.first)));
    }
    for (const auto &it : others) {
      RC_ASSERT((keys.find(it) != nullptr) == (holders.count(it) > 0));
    }
  }));
}

// Guards against a comparison that depends on how the texts are split.
TEST_CASE("keys are equal if all their bytes are", "[customer_keys]") {
  REQUIRE(rc::check([](const std::string &a, const std::string &b) {
    RC_ASSERT(equalKeys(a, b) == (a == b));
    RC_ASSERT(equalKeys(a, a));
    RC_ASSERT(!equalKeys(a, a + "x"));
  }));
}

// Guards against requests that are let in without a valid key, and against
// calls of servers, which carry none, that are kept out.
TEST_CASE("the key decides whether a request may run", "[customer_keys]") {
  for (const bool isPublic : {false, true}) {
    for (const bool isCall : {false, true}) {
      INFO(isPublic << isCall);
      CHECK(judgeKey({true, true, isPublic, isCall}) == KeyVerdict::Allowed);
      CHECK(judgeKey({true, false, isPublic, isCall}) ==
            KeyVerdict::UnknownKey);
      CHECK(
          judgeKey({false, false, isPublic, isCall}) ==
          (isPublic || isCall ? KeyVerdict::Allowed : KeyVerdict::MissingKey));
    }
  }
}

// Guards against credentials that are misread, and against one key that hides
// behind another.
TEST_CASE("the key is read from the credentials", "[customer_keys]") {
  struct Case {
    HttpHeaders Headers;
    std::optional<std::string> Key;
  };
  const std::vector<Case> cases{
      {{}, std::nullopt},
      {{{"Authorization", "Bearer k1"}}, "k1"},
      {{{"authorization", "bearer  k1"}}, "k1"},
      {{{"Authorization", "Basic k1"}}, ""},
      {{{"Authorization", "Bearer"}}, ""},
      {{{"Authorization", "Bearer "}}, ""},
      {{{"Authorization", ""}}, ""},
      {{{"Authorization", "Bearerk1"}}, ""},
      {{{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k2"}},
       "k1,Bearer k2"}};
  const platform::RequestHeaders codec;
  for (const auto &it : cases) {
    HttpRequest request;
    request.Headers = it.Headers;
    CHECK(codec.readClient(request).Key == it.Key);
    CHECK(codec.hasKey(it.Headers) == it.Key.has_value());
  }
}

// Guards against a key or a customer's name from the client that reaches a
// server, and against a change where no keys are checked.
TEST_CASE("the server gets the customer's name and never the key",
          "[customer_keys]") {
  const platform::RequestHeaders codec;
  const HttpHeaders client{{"Host", "h"},
                           {"authorization", "Bearer k1"},
                           {"chivefold-tenant-id", "forged"},
                           {"Chivefold-Tenant-Id", "forged too"}};
  ServerRequest terms{std::chrono::seconds(1), "i", "s", true, "a"};
  const auto sent = codec.forServer(client, terms);
  CHECK(headerValue(sent, "Authorization").empty());
  CHECK(headerValue(sent, "Chivefold-Tenant-Id") == "a");
  CHECK(sent.size() == 5);
  terms.Customer = "";
  CHECK(headerValue(codec.forServer(client, terms), "Chivefold-Tenant-Id")
            .empty());
  terms.ChecksKeys = false;
  CHECK(headerValue(codec.forServer(client, terms), "Authorization") ==
        "Bearer k1");
  CHECK(codec.withoutCustomer(client).size() == 1);
}
