#include "toucanstep/config/InForce.h"

#include "toucanstep/testing/Property.h"

#include <algorithm>
#include <array>

using namespace toucanstep;
using namespace toucanstep::config;
using namespace std::chrono_literals;

TEST_GROUP(InForce) {};

namespace {

const base::Instant start { 1h };
constexpr uint64_t seed = 3;

base::InstanceId peerId(int index)
{
    return base::InstanceId("gw-" + std::to_string(index));
}

base::Revision revision(int64_t value)
{
    return base::Revision(value);
}

std::vector<ConfigurationSource> fetchesIn(const InForceActions& actions)
{
    std::vector<ConfigurationSource> sources;
    for (const InForceAction& action : actions) {
        if (const auto* fetch = std::get_if<FetchAction>(&action))
            sources.push_back(fetch->source);
    }
    return sources;
}

bool installs(const InForceActions& actions, int64_t version)
{
    return std::any_of(actions.begin(), actions.end(), [&](const InForceAction& action) {
        const auto* install = std::get_if<InstallAction>(&action);
        return install && install->version == revision(version);
    });
}

// A node that has version 5 in force, from the service.
InForce settledNode()
{
    InForce node({}, seed, start);
    node.tick(start);
    node.onFetched({}, revision(5), FetchOutcome::Text, start);
    CHECK_EQUAL(5, node.version().value());
    return node;
}

} // namespace

TEST(InForce, ALateOrRepeatedEventNeverTakesANodeBack)
{
    InForce node = settledNode();
    CHECK_TRUE(installs(node.onWatchEvent(revision(8), true, start), 8));
    CHECK_TRUE(node.onWatchEvent(revision(7), true, start).empty());
    CHECK_TRUE(node.onWatchEvent(revision(8), true, start).empty());
    CHECK_FALSE(installs(node.onFetched({}, revision(6), FetchOutcome::Text, start), 6));
    CHECK_EQUAL(8, node.version().value());
}

TEST(InForce, ASilentWatchIsMadeUpForByThePoll)
{
    // A key is withdrawn and published, but something between the node and the service has lost track of the watch's
    // connection: no event and no error ever comes. The node would let the withdrawn key in for good.
    InForce node = settledNode();
    CHECK_EQUAL(0, fetchesIn(node.tick(start + 1s)).size());
    auto fetches = fetchesIn(node.tick(start + 2s));
    CHECK_EQUAL(1, fetches.size());
    CHECK_FALSE(fetches.at(0).peer.has_value());
    CHECK_TRUE(installs(node.onFetched({}, revision(6), FetchOutcome::Text, start + 2s), 6));
}

TEST(InForce, WithTheServiceDownAPeerThatIsAheadGivesTheVersion)
{
    // A key is withdrawn; one gateway gets the new text, then the service goes down. A second gateway, which had not got it
    // yet, would let the key in for as long as the outage lasts.
    InForce node = settledNode();
    node.tick(start + 2s);
    node.onFetched({}, {}, FetchOutcome::Failed, start + 3s);
    auto fetches = fetchesIn(node.onVersionSeen(peerId(1), revision(9), start + 3s));
    CHECK_EQUAL(1, fetches.size());
    CHECK_TRUE(fetches.at(0).peer == std::optional(peerId(1)));
    CHECK_TRUE(installs(node.onFetched({ peerId(1) }, revision(9), FetchOutcome::Text, start + 3s), 9));
    CHECK_TRUE(node.isCurrent());
}

TEST(InForce, APeerThatDoesNotAnswerIsPassedOverForAnother)
{
    InForce node = settledNode();
    CHECK_EQUAL(1, fetchesIn(node.onVersionSeen(peerId(1), revision(9), start)).size());
    CHECK_EQUAL(1, fetchesIn(node.onVersionSeen(peerId(2), revision(9), start)).size());
    // Only two peers are asked at once.
    CHECK_EQUAL(0, fetchesIn(node.onVersionSeen(peerId(3), revision(9), start)).size());
    auto fetches = fetchesIn(node.onFetched({ peerId(1) }, {}, FetchOutcome::Failed, start + 100ms));
    CHECK_EQUAL(1, fetches.size());
    CHECK_TRUE(fetches.at(0).peer == std::optional(peerId(3)));
}

TEST(InForce, ANodeThatStartsInAnOutageTakesTheNewestOfItsPeersCopies)
{
    // A gateway starts while the service is down. The first peer to answer was cut off before a key was withdrawn; a node
    // that took its copy would let the key in, although the next peer knows better.
    InForce node({}, seed, start);
    for (int peer = 1; peer <= 3; ++peer)
        node.addPeer(peerId(peer), start);
    CHECK_EQUAL(4, fetchesIn(node.tick(start)).size());
    CHECK_TRUE(node.onFetched({ peerId(1) }, revision(4), FetchOutcome::Text, start + 10ms).empty());
    CHECK_TRUE(node.onFetched({ peerId(2) }, revision(9), FetchOutcome::Text, start + 20ms).empty());
    CHECK_EQUAL(0, node.version().value());
    node.onFetched({}, {}, FetchOutcome::Failed, start + 50ms);
    // The third peer never answers.
    CHECK_TRUE(installs(node.tick(start + 2s), 9));
}

TEST(InForce, ANodeThatStartsTakesTheServicesTextAtOnce)
{
    InForce node({}, seed, start);
    node.addPeer(peerId(1), start);
    node.tick(start);
    node.onFetched({ peerId(1) }, revision(4), FetchOutcome::Text, start);
    CHECK_TRUE(installs(node.onFetched({}, revision(6), FetchOutcome::Text, start), 6));
}

TEST(InForce, ALateWatchEventAtTheStartDoesNotHideANewerCopy)
{
    // A gateway starts; a peer gives version 9, in which a key is withdrawn, and then an old event of the watch arrives.
    InForce node({}, seed, start);
    node.addPeer(peerId(1), start);
    node.tick(start);
    node.onFetched({ peerId(1) }, revision(9), FetchOutcome::Text, start);
    CHECK_TRUE(installs(node.onWatchEvent(revision(4), true, start), 9));
}

TEST(InForce, ATextThatDoesNotParseLeavesTheVersionInForce)
{
    InForce node = settledNode();
    CHECK_TRUE(node.onWatchEvent(revision(6), false, start).empty());
    CHECK_EQUAL(5, node.version().value());
    CHECK_FALSE(node.isCurrent());
}

TEST(InForce, APeerThatHasNothingNewerIsNotAskedInALoop)
{
    InForce node = settledNode();
    node.onVersionSeen(peerId(1), revision(9), start);
    CHECK_EQUAL(0, fetchesIn(node.onFetched({ peerId(1) }, {}, FetchOutcome::NothingNewer, start)).size());
    CHECK_TRUE(node.isCurrent());
    CHECK_EQUAL(0, fetchesIn(node.onVersionSeen(peerId(1), revision(9), start)).size());
}

namespace {

constexpr int peerCount = 4;
constexpr base::Duration tickLength = 100ms;

enum class Event {
    Publish,
    ToggleService,
    TogglePeer,
    PeerCatchesUp,
    PeerSpeaks,
    OldMessage,
    WatchEvent,
    Deliver,
    DeliverAgain,
    Lose,
    Pass,
    ForgetPeer,
};

struct Command {
    Event event;
    int first;
    int second;
};

std::ostream& operator<<(std::ostream& stream, const Command& command)
{
    return stream << static_cast<int>(command.event) << "(" << command.first << "," << command.second << ")";
}

rc::Gen<Command> command()
{
    return rc::gen::construct<Command>(
        rc::gen::map(rc::gen::inRange(0, static_cast<int>(Event::ForgetPeer) + 1), [](int value) { return static_cast<Event>(value); }),
        rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000));
}

// A service, peers and one node, whose messages the commands delay, lose, repeat and reorder.
class World {
public:
    World()
        : m_node({}, seed, m_now)
    {
        for (int peer = 0; peer < peerCount; ++peer)
            m_node.addPeer(peerId(peer), m_now);
    }

    void run(const Command& command)
    {
        auto peer = static_cast<size_t>(command.first % peerCount);
        switch (command.event) {
        case Event::Publish:
            m_published += 1 + command.first % 3;
            break;
        case Event::ToggleService:
            m_serviceUp = !m_serviceUp;
            break;
        case Event::TogglePeer:
            m_peers[peer].up = !m_peers[peer].up;
            break;
        case Event::PeerCatchesUp:
            m_peers[peer].version = std::max(m_peers[peer].version, olderVersion(command.second));
            break;
        case Event::PeerSpeaks:
            speak(static_cast<int>(peer));
            break;
        case Event::OldMessage:
            handle(m_node.onVersionSeen(peerId(static_cast<int>(peer)), revision(std::min(m_peers[peer].version, olderVersion(command.second))), m_now));
            break;
        case Event::WatchEvent:
            if (int64_t version = olderVersion(command.first); version > 0) {
                m_texts = std::max(m_texts, version);
                handle(m_node.onWatchEvent(revision(version), true, m_now));
            }
            break;
        case Event::Deliver:
            deliver(command.first, false);
            break;
        case Event::DeliverAgain:
            deliver(command.first, true);
            break;
        case Event::Lose:
            if (!m_fetches.empty())
                m_fetches.erase(m_fetches.begin() + command.first % static_cast<long>(m_fetches.size()));
            break;
        case Event::Pass:
            pass(std::chrono::milliseconds(command.first * 5));
            break;
        case Event::ForgetPeer:
            m_node.forgetPeer(peerId(static_cast<int>(peer)));
            break;
        }
    }

    // Lets time pass in which every reachable source answers and speaks.
    void calm(base::Duration duration)
    {
        for (base::Duration passed {}; passed < duration; passed += tickLength) {
            pass(tickLength);
            for (int peer = 0; peer < peerCount; ++peer) {
                if (m_peers[static_cast<size_t>(peer)].up)
                    speak(peer);
            }
            while (!m_fetches.empty())
                deliver(0, false);
        }
    }

    int64_t version() const { return m_node.version().value(); }

    int64_t newestReachable() const
    {
        int64_t newest = m_serviceUp ? m_published : 0;
        for (const PeerState& peer : m_peers)
            newest = std::max(newest, peer.up ? peer.version : 0);
        return newest;
    }

private:
    struct PeerState {
        bool up = true;
        int64_t version = 0;
    };

    struct Fetch {
        FetchAction action;
        // What the source held when it was asked; nothing where it was not reachable.
        std::optional<int64_t> held;
    };

    int64_t olderVersion(int step) const { return std::max<int64_t>(0, m_published - step % 4); }

    void speak(int peer) { handle(m_node.onVersionSeen(peerId(peer), revision(m_peers[static_cast<size_t>(peer)].version), m_now)); }

    void pass(base::Duration duration)
    {
        m_now += duration;
        handle(m_node.tick(m_now));
    }

    std::optional<int64_t> heldBy(const ConfigurationSource& source) const
    {
        if (!source.peer)
            return m_serviceUp ? std::optional(m_published) : std::nullopt;
        for (int peer = 0; peer < peerCount; ++peer) {
            const PeerState& state = m_peers[static_cast<size_t>(peer)];
            if (peerId(peer) == *source.peer && state.up)
                return state.version;
        }
        return std::nullopt;
    }

    void deliver(int index, bool again)
    {
        if (m_fetches.empty())
            return;
        auto position = m_fetches.begin() + index % static_cast<long>(m_fetches.size());
        Fetch fetch = *position;
        if (!again)
            m_fetches.erase(position);
        if (!fetch.held) {
            // A source that cannot be reached refuses the connection, or nothing comes at all and the node has to notice.
            if (index % 2 == 1)
                handle(m_node.onFetched(fetch.action.source, {}, FetchOutcome::Failed, m_now));
            return;
        }
        bool newer = *fetch.held > fetch.action.known.value();
        if (newer)
            m_texts = std::max(m_texts, *fetch.held);
        handle(m_node.onFetched(fetch.action.source, revision(newer ? *fetch.held : 0), newer ? FetchOutcome::Text : FetchOutcome::NothingNewer, m_now));
    }

    // The oracle: what is installed is newer than what was, was published, and its text is the newest that has come.
    void handle(const InForceActions& actions)
    {
        for (const InForceAction& action : actions) {
            if (const auto* fetch = std::get_if<FetchAction>(&action)) {
                RC_ASSERT(fetch->deadline > m_now);
                m_fetches.push_back({ *fetch, heldBy(fetch->source) });
                continue;
            }
            int64_t installed = std::get<InstallAction>(action).version.value();
            RC_ASSERT(installed > m_installed);
            RC_ASSERT(installed <= m_published);
            RC_ASSERT(installed == m_texts);
            m_installed = installed;
        }
        RC_ASSERT(m_node.version().value() == m_installed);
    }

    base::Instant m_now = start;
    int64_t m_published = 0;
    bool m_serviceUp = true;
    std::array<PeerState, peerCount> m_peers;
    std::vector<Fetch> m_fetches;
    // The newest text that has come to the node.
    int64_t m_texts = 0;
    int64_t m_installed = 0;
    InForce m_node;
};

} // namespace

TEST(InForce, ANodeNeverGoesBackAndReachesWhatAnyReachableSourceHas)
{
    // Within this time of calm: the longest retry and a silent fetch of each peer that cannot be reached, two at once.
    constexpr base::Duration calmNeeded = 12s;
    CHECK_PROPERTY_WITH((testing::PropertyOptions { .seed = 11, .maxSuccess = 3000 }), [&] {
        World world;
        for (const Command& next : *rc::gen::container<std::vector<Command>>(command()))
            world.run(next);
        world.calm(calmNeeded);
        RC_ASSERT(world.version() >= world.newestReachable());
    });
}
