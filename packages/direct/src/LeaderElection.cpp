#include "LeaderElection.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// Renewals per lease duration, so that one or two lost responses do not end the lease.
constexpr int renewalsPerLease = 4;
// The clocks of the store and of this gateway may run at slightly different rates.
constexpr auto leaseMargin = std::chrono::milliseconds(100);
constexpr auto campaignRetryInterval = std::chrono::milliseconds(500);

// See PlannerLeadership.
constexpr std::string_view plannerKey = "toucanstep/planner";
constexpr std::string_view lastPlannerKey = "toucanstep/last-planner";

PlannerLeadershipSettings leadershipSettings(const DirectGatewaySettings& settings)
{
    PlannerLeadershipSettings leadership;
    leadership.lease = settings.plannerLease;
    leadership.handoverDelay = settings.plannerHandoverDelay;
    // Planning and its reports to all gateways need more than the smallest machines have.
    constexpr double amplePart = 0.4;
    constexpr auto maxDelay = std::chrono::milliseconds(200);
    leadership.ownDelay = std::chrono::duration_cast<base::Duration>(maxDelay * (1 - std::min(settings.processorShare / amplePart, 1.0)));
    return leadership;
}

} // namespace

LeaderElection::LeaderElection(io::EventLoop& loop, base::KeyValueStore& store, const Directory& directory, const DirectGatewaySettings& settings, std::function<void()> onElected)
    : m_loop(loop)
    , m_store(store)
    , m_directory(directory)
    , m_settings(settings)
    , m_onElected(std::move(onElected))
    , m_leadership(leadershipSettings(settings), settings.instance, settings.firstStart)
{
}

void LeaderElection::leave()
{
    m_leaving = true;
    // The lease ends a key whose revision is not known.
    if (!m_registered)
        return;
    base::Transaction transaction;
    // The store may carry the transaction out seconds later, when the next process on this machine has written the key.
    transaction.comparisons.push_back({ memberKey(), m_memberRevision });
    transaction.operations.emplace_back(base::DeleteOperation { memberKey() });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [](base::Outcome<base::TransactionReply>) {});
}

void LeaderElection::tick()
{
    base::Instant now = m_loop.now();
    if (m_leaseRequestPending || (m_leaving && !m_leadership.isLeader()))
        return;
    if (!m_lease) {
        if (now >= m_nextRenewal)
            grantLease();
        return;
    }
    if (!m_registered && !m_registering && !m_leaving)
        registerMember();
    if (now >= m_nextRenewal)
        renewLease();
    if (m_registered && !m_leadership.isLeader() && m_directory.synced() && m_leadership.mayCampaign(record(), now) && now >= m_nextCampaign)
        campaign();
}

base::Instant LeaderElection::leaseEnd() const
{
    return m_lease ? m_leaseRequestedAt + m_settings.plannerLease - leaseMargin : base::Instant();
}

void LeaderElection::grantLease()
{
    m_leaseRequestPending = true;
    base::Instant sent = m_loop.now();
    m_nextRenewal = sent + m_settings.plannerLease / renewalsPerLease;
    m_store.grantLease(m_settings.plannerLease, sent + storeCallTimeout, [this, sent](base::Outcome<base::LeaseId> outcome) {
        m_leaseRequestPending = false;
        if (const auto* lease = std::get_if<base::LeaseId>(&outcome)) {
            m_lastAnswer = m_loop.now();
            m_lease = *lease;
            m_leaseRequestedAt = sent;
            m_registered = false;
            registerMember();
        }
    });
}

void LeaderElection::renewLease()
{
    m_leaseRequestPending = true;
    base::Instant sent = m_loop.now();
    m_nextRenewal = sent + m_settings.plannerLease / renewalsPerLease;
    m_store.keepLeaseAlive(*m_lease, sent + storeCallTimeout, [this, sent](base::Outcome<base::LeaseId> outcome) {
        m_leaseRequestPending = false;
        if (std::holds_alternative<base::LeaseId>(outcome)) {
            m_lastAnswer = m_loop.now();
            m_leaseRequestedAt = sent;
            m_leadership.onRenewed(sent);
            return;
        }
        const base::Error& error = std::get<base::Error>(outcome);
        base::LogLine("lease_not_renewed").add("reason", error.message);
        if (error.kind != base::ErrorKind::Rejected)
            return;
        m_lease.reset();
        m_registered = false;
        m_nextRenewal = {};
        if (m_leadership.isLeader())
            resign("the lease has ended");
    });
}

void LeaderElection::registerMember()
{
    m_registering = true;
    base::Transaction transaction;
    transaction.operations.emplace_back(base::PutOperation { memberKey(), m_settings.peers.text(), m_lease });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this](base::Outcome<base::TransactionReply> outcome) {
        m_registering = false;
        const auto* reply = std::get_if<base::TransactionReply>(&outcome);
        m_registered = reply && reply->committed;
        if (m_registered)
            m_memberRevision = reply->revision;
        else
            base::LogLine("join_failed").add("reason", reply ? "refused" : std::get<base::Error>(outcome).message);
    });
}

const base::KeyValue* LeaderElection::entryOf(std::string_view key) const
{
    auto found = m_directory.entries().find(std::string(key));
    return found == m_directory.entries().end() ? nullptr : &found->second;
}

std::string LeaderElection::memberKey() const { return base::concat(memberPrefix, m_settings.instance); }

LeadershipRecord LeaderElection::record() const
{
    LeadershipRecord record;
    if (const base::KeyValue* holder = entryOf(plannerKey))
        record.holder = base::InstanceId(holder->value);
    if (const base::KeyValue* last = entryOf(lastPlannerKey))
        record.lastPlanner = base::InstanceId(last->value);
    return record;
}

void LeaderElection::campaign()
{
    if (m_campaigning || m_leaving)
        return;
    m_campaigning = true;
    m_nextCampaign = m_loop.now() + campaignRetryInterval;
    const base::KeyValue* holder = entryOf(plannerKey);
    const base::KeyValue* last = entryOf(lastPlannerKey);
    bool canResume = m_leadership.canResume(record());
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(plannerKey), holder ? holder->modified : base::Revision(0) });
    transaction.comparisons.push_back({ std::string(lastPlannerKey), last ? last->modified : base::Revision(0) });
    transaction.operations.emplace_back(base::PutOperation { std::string(lastPlannerKey), canResume ? m_settings.instance.value() : std::string(), {} });
    // Written last, so that its revision is the transaction's even in a store that counts each write.
    transaction.operations.emplace_back(base::PutOperation { std::string(plannerKey), m_settings.instance.value(), m_lease });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this, canResume](base::Outcome<base::TransactionReply> outcome) {
        m_campaigning = false;
        const auto* reply = std::get_if<base::TransactionReply>(&outcome);
        if (!reply || !reply->committed || m_leaving)
            return;
        m_leadership.onAcquired(base::Epoch(reply->revision.value()), m_leaseRequestedAt, m_loop.now(), canResume);
        base::LogLine("planner_duty_taken").add("fence", m_leadership.fence()).add("pause", canResume ? "no" : "yes");
        m_onElected();
    });
}

// Until this is written, a process restarted on this machine has to pause like any other gateway.
void LeaderElection::recordLastPlanner()
{
    if (!m_leadership.needsRecording())
        return;
    m_leadership.setRecorded(true);
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(plannerKey), base::Revision(m_leadership.fence().value()) });
    transaction.operations.emplace_back(base::PutOperation { std::string(lastPlannerKey), m_settings.instance.value(), {} });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this](base::Outcome<base::TransactionReply> outcome) {
        if (!std::holds_alternative<base::TransactionReply>(outcome))
            m_leadership.setRecorded(false);
    });
}

// A late write of an earlier process on this machine may have replaced or removed the key.
void LeaderElection::checkMember()
{
    if (!m_registered || m_leaving || m_directory.revision() < m_memberRevision)
        return;
    const base::KeyValue* member = entryOf(memberKey());
    if (member && member->modified == m_memberRevision)
        return;
    base::LogLine("member_key_lost").add("written", m_memberRevision).add("found", member ? member->modified : base::Revision());
    m_registered = false;
}

std::optional<base::InstanceId> LeaderElection::onDirectoryUpdated()
{
    checkMember();
    const base::KeyValue* holder = entryOf(plannerKey);
    if (!m_leadership.isLeader()) {
        bool another = holder && holder->value != m_settings.instance.value();
        return another ? std::optional(base::InstanceId(holder->value)) : std::nullopt;
    }
    // The local copy of the store is older than this gateway's key.
    if (m_directory.revision().value() < m_leadership.fence().value())
        return std::nullopt;
    if (!holder || holder->modified.value() != m_leadership.fence().value())
        resign("the leadership key is no longer this gateway's");
    return std::nullopt;
}

void LeaderElection::resign(std::string_view why)
{
    if (!m_leadership.isLeader())
        return;
    base::LogLine("planner_duty_lost").add("fence", m_leadership.fence()).add("reason", why);
    base::Revision acquired(m_leadership.fence().value());
    m_leadership.onLost();
    m_nextCampaign = m_loop.now() + m_settings.plannerLease * 2;
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(plannerKey), acquired });
    transaction.operations.emplace_back(base::DeleteOperation { std::string(plannerKey) });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [](base::Outcome<base::TransactionReply>) {});
}

} // namespace toucanstep::direct
