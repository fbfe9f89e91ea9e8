#include "DutyKeeper.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

namespace toucanstep::direct {

namespace {

// A lease is renewed this many times in its length, so that a lost answer or two do not end it.
constexpr int renewalsPerLease = 4;
constexpr auto dutyRetry = std::chrono::milliseconds(500);

// See PlannerDuty.
constexpr std::string_view plannerKey = "toucanstep/planner";
constexpr std::string_view lastPlannerKey = "toucanstep/last-planner";

PlannerDutySettings dutySettings(const DirectGatewaySettings& settings)
{
    PlannerDutySettings duty;
    duty.lease = settings.plannerLease;
    duty.handOver = settings.plannerHandoverDelay;
    return duty;
}

} // namespace

DutyKeeper::DutyKeeper(io::EventLoop& loop, base::KeyValueStore& store, const Directory& directory, const DirectGatewaySettings& settings, std::function<void()> onTaken)
    : m_loop(loop)
    , m_store(store)
    , m_directory(directory)
    , m_settings(settings)
    , m_onTaken(std::move(onTaken))
    , m_duty(dutySettings(settings), settings.instance, settings.firstStart)
{
}

void DutyKeeper::leave()
{
    m_leaving = true;
    base::Transaction transaction;
    transaction.operations.emplace_back(base::DeleteOperation { base::concat(memberPrefix, m_settings.instance) });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [](base::Outcome<base::TransactionReply>) {});
}

void DutyKeeper::beat()
{
    base::Instant now = m_loop.now();
    if (m_leaseCall || (m_leaving && !m_duty.holds()))
        return;
    if (!m_lease) {
        if (now >= m_nextRenewal)
            grantLease();
        return;
    }
    if (!m_joined && !m_joining && !m_leaving)
        join();
    if (now >= m_nextRenewal)
        renewLease();
    if (m_joined && !m_duty.holds() && m_directory.synced() && m_duty.isOpen(record(), now) && now >= m_nextTry)
        seek();
}

void DutyKeeper::grantLease()
{
    m_leaseCall = true;
    base::Instant sent = m_loop.now();
    m_nextRenewal = sent + m_settings.plannerLease / renewalsPerLease;
    m_store.grantLease(m_settings.plannerLease, sent + storeCallTimeout, [this, sent](base::Outcome<base::LeaseId> outcome) {
        m_leaseCall = false;
        if (const auto* lease = std::get_if<base::LeaseId>(&outcome)) {
            m_lease = *lease;
            m_leaseSent = sent;
            m_joined = false;
            join();
        }
    });
}

void DutyKeeper::renewLease()
{
    m_leaseCall = true;
    base::Instant sent = m_loop.now();
    m_nextRenewal = sent + m_settings.plannerLease / renewalsPerLease;
    m_store.keepLeaseAlive(*m_lease, sent + storeCallTimeout, [this, sent](base::Outcome<base::LeaseId> outcome) {
        m_leaseCall = false;
        if (std::holds_alternative<base::LeaseId>(outcome)) {
            m_leaseSent = sent;
            m_duty.onRenewed(sent);
            return;
        }
        const base::Error& error = std::get<base::Error>(outcome);
        base::LogLine("lease_not_renewed").add("reason", error.message);
        if (error.kind != base::ErrorKind::Rejected)
            return;
        m_lease.reset();
        m_joined = false;
        m_nextRenewal = {};
        if (m_duty.holds())
            lose("the lease has ended");
    });
}

void DutyKeeper::join()
{
    m_joining = true;
    base::Transaction transaction;
    transaction.operations.emplace_back(base::PutOperation { base::concat(memberPrefix, m_settings.instance), m_settings.peers.text(), m_lease });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this](base::Outcome<base::TransactionReply> outcome) {
        m_joining = false;
        const auto* reply = std::get_if<base::TransactionReply>(&outcome);
        m_joined = reply && reply->committed;
        if (!m_joined)
            base::LogLine("join_failed").add("reason", reply ? "refused" : std::get<base::Error>(outcome).message);
    });
}

const base::KeyValue* DutyKeeper::entryOf(std::string_view key) const
{
    auto found = m_directory.entries().find(std::string(key));
    return found == m_directory.entries().end() ? nullptr : &found->second;
}

DutyRecord DutyKeeper::record() const
{
    DutyRecord record;
    if (const base::KeyValue* holder = entryOf(plannerKey))
        record.holder = base::InstanceId(holder->value);
    if (const base::KeyValue* last = entryOf(lastPlannerKey))
        record.lastPlanner = base::InstanceId(last->value);
    return record;
}

void DutyKeeper::seek()
{
    if (m_seeking || m_leaving)
        return;
    m_seeking = true;
    m_nextTry = m_loop.now() + dutyRetry;
    const base::KeyValue* holder = entryOf(plannerKey);
    const base::KeyValue* last = entryOf(lastPlannerKey);
    bool goesOn = m_duty.goesOn(record());
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(plannerKey), holder ? holder->modified : base::Revision(0) });
    transaction.comparisons.push_back({ std::string(lastPlannerKey), last ? last->modified : base::Revision(0) });
    transaction.operations.emplace_back(base::PutOperation { std::string(lastPlannerKey), goesOn ? m_settings.instance.value() : std::string(), {} });
    // Last, so that the transaction's revision is this key's where a store counts each write.
    transaction.operations.emplace_back(base::PutOperation { std::string(plannerKey), m_settings.instance.value(), m_lease });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this, goesOn](base::Outcome<base::TransactionReply> outcome) {
        m_seeking = false;
        const auto* reply = std::get_if<base::TransactionReply>(&outcome);
        if (!reply || !reply->committed || m_leaving)
            return;
        m_duty.onAcquired(base::Epoch(reply->revision.value()), m_leaseSent, m_loop.now(), goesOn);
        base::LogLine("planner_duty_taken").add("fence", m_duty.fence()).add("pause", goesOn ? "no" : "yes");
        m_onTaken();
    });
}

// From the first order on this gateway is the last that gave one. Until that is written, a process that starts again here
// pauses as any other would.
void DutyKeeper::settle()
{
    if (!m_duty.unsettled())
        return;
    m_duty.setSettled(true);
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(plannerKey), base::Revision(m_duty.fence().value()) });
    transaction.operations.emplace_back(base::PutOperation { std::string(lastPlannerKey), m_settings.instance.value(), {} });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this](base::Outcome<base::TransactionReply> outcome) {
        if (!std::holds_alternative<base::TransactionReply>(outcome))
            m_duty.setSettled(false);
    });
}

std::optional<base::InstanceId> DutyKeeper::onDirectoryUpdated()
{
    const base::KeyValue* holder = entryOf(plannerKey);
    if (!m_duty.holds()) {
        bool another = holder && holder->value != m_settings.instance.value();
        return another ? std::optional(base::InstanceId(holder->value)) : std::nullopt;
    }
    // An older copy of the store does not show this gateway's key yet.
    if (m_directory.revision().value() < m_duty.fence().value())
        return std::nullopt;
    if (!holder || holder->modified.value() != m_duty.fence().value())
        lose("the key is not this gateway's any more");
    return std::nullopt;
}

void DutyKeeper::lose(std::string_view why)
{
    if (!m_duty.holds())
        return;
    base::LogLine("planner_duty_lost").add("fence", m_duty.fence()).add("reason", why);
    base::Revision acquired(m_duty.fence().value());
    m_duty.onLost();
    m_nextTry = m_loop.now() + m_settings.plannerLease * 2;
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(plannerKey), acquired });
    transaction.operations.emplace_back(base::DeleteOperation { std::string(plannerKey) });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [](base::Outcome<base::TransactionReply>) {});
}

} // namespace toucanstep::direct
