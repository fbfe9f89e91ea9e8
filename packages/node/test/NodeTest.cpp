#include "toucanstep/node/Node.h"

#include "toucanstep/peers/SingleReply.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::node;

namespace {

constexpr base::Duration callTimeout = std::chrono::seconds(1);
constexpr base::Duration pause = std::chrono::microseconds(100);

// Nothing listens there, so calls end at once.
const base::Endpoint closedPort { "127.0.0.1", 1 };

config::ProcessSettings settings()
{
    config::ProcessSettings settings;
    settings.role = config::Role::Gateway;
    settings.instance = base::InstanceId("gateway-0");
    settings.failureDomain = base::FailureDomain("zone-a");
    settings.keyValueUrl = "http://127.0.0.1:1";
    settings.instanceListUrl = "http://127.0.0.1:1";
    settings.fleetSecret = "secret";
    return settings;
}

// Calls the store from the control loop and a peer from the traffic loop, every `pause` until the loops end.
class PeriodicCalls {
public:
    explicit PeriodicCalls(Node& node)
        : m_node(node)
    {
        m_node.control().post([this] { callStore(); });
        m_node.traffic().post([this] { callPeer(); });
    }

private:
    void callStore()
    {
        base::Instant now = m_node.control().now();
        m_node.store().get("key", now + callTimeout, [](const base::Outcome<base::RangeReply>&) {});
        m_node.control().at(now + pause, [this] { callStore(); });
    }

    void callPeer()
    {
        base::Instant now = m_node.traffic().now();
        m_node.peers().call({ closedPort, peers::Method("method"), {}, now + callTimeout }, std::make_shared<peers::SingleReply>([](const base::Outcome<std::string>&) {}));
        m_node.traffic().at(now + pause, [this] { callPeer(); });
    }

    Node& m_node;
};

} // namespace

TEST_GROUP(Node) {};

// Guards against a process that crashes as it ends: the store and the peers were gone while tasks on the loops still used them.
TEST(Node, TasksOnItsLoopsMayUseTheStoreAndThePeersUntilTheLoopsHaveEnded)
{
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        Node node(settings());
        base::Error error;
        CHECK_TRUE(base::valueOr(error, [&]() -> base::Result<bool> {
            BOOST_LEAF_CHECK(node.start());
            return true;
        }));
        PeriodicCalls calls(node);
        node.stop();
    }
}
