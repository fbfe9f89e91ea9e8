// An engine behind a network that delays, loses and doubles orders, as an oracle for the residency manager.
//
// Time moves only by advance(). Each order can take effect at any moment up to `horizon` after it was sent, also after its
// sender has given up or died.

#pragma once

#include "toucanstep/base/Text.h"
#include "toucanstep/placement/ResidencyManager.h"

#include <functional>
#include <map>
#include <vector>

namespace toucanstep::placement::testing {

using namespace std::chrono_literals;

// What happens to one order on its way. Delays from its sending; none for a copy that is lost.
struct Fate {
    std::optional<base::Duration> lands;
    std::optional<base::Duration> duplicateLands;
    bool answerLost = false;
    // Time that an index takes to arrive after it was read.
    base::Duration indexDelay {};
};

class EngineModel {
public:
    EngineModel(base::Bytes capacity, bool fencing)
        : m_capacity(capacity)
        , m_fencing(fencing)
    {
    }

    void addModel(const ModelSpec& spec) { m_specs[spec.model] = spec; }

    // Carries the orders of one sidecar process, `sender`; answers go to the manager of the process that is alive.
    void give(int sender, const ResidencyOrder& order, const Fate& fate, base::Instant now)
    {
        Flight flight { sender, order, now, fate.answerLost, fate.indexDelay };
        m_flights[++m_lastFlight] = flight;
        if (fate.lands)
            schedule(now + *fate.lands, [this, id = m_lastFlight] { land(id, true); });
        if (fate.duplicateLands)
            schedule(now + *fate.duplicateLands, [this, id = m_lastFlight] { land(id, false); });
        schedule(order.deadline, [this, id = m_lastFlight] { answer(id, OrderOutcome::TimedOut); });
    }

    // Runs what is due up to `target`.
    void advance(base::Instant target)
    {
        while (!m_events.empty() && m_events.begin()->first <= target) {
            auto event = m_events.begin()->second;
            m_now = m_events.begin()->first;
            m_events.erase(m_events.begin());
            event();
        }
        m_now = target;
    }

    void crash()
    {
        m_resident.clear();
        ++m_incarnation;
    }

    EngineIndex index() const
    {
        EngineIndex result { m_now, {} };
        for (const auto& [model, ready] : m_resident)
            result.entries.push_back({ model, ready ? EngineModelState::Ready : EngineModelState::Loading });
        return result;
    }

    bool isResident(const base::ModelId& model) const { return m_resident.count(model) > 0; }
    std::vector<base::ModelId> resident() const
    {
        std::vector<base::ModelId> models;
        for (const auto& [model, ready] : m_resident)
            models.push_back(model);
        return models;
    }

    base::Bytes used() const
    {
        base::Bytes sum;
        for (const auto& [model, ready] : m_resident)
            sum += m_specs.at(model).memory;
        return sum;
    }

    std::function<void(int sender, OrderId, OrderOutcome, base::Instant)> onAnswer;
    std::function<void(int sender, const EngineIndex&, base::Instant)> onIndex;
    bool overcommitted = false;
    int loadsBegun = 0;

private:
    struct Flight {
        int sender = 0;
        ResidencyOrder order;
        base::Instant sent;
        bool answerLost = false;
        base::Duration indexDelay {};
        bool answered = false;
    };

    void schedule(base::Instant when, std::function<void()> event) { m_events.emplace(when, std::move(event)); }

    void answer(int64_t id, OrderOutcome outcome)
    {
        auto& flight = m_flights[id];
        if (flight.answered || (flight.answerLost && outcome != OrderOutcome::TimedOut))
            return;
        flight.answered = true;
        if (onAnswer)
            onAnswer(flight.sender, flight.order.id, outcome, m_now);
    }

    void land(int64_t id, bool isFirst)
    {
        const auto flight = m_flights[id];
        if (flight.order.kind == OrderKind::ReadIndex) {
            if (isFirst)
                schedule(m_now + flight.indexDelay, [this, id, read = index()] { deliverIndex(id, read); });
            return;
        }
        std::pair fence(flight.order.epoch, flight.order.id);
        if (m_fencing && fence < m_highestFence)
            return answer(id, OrderOutcome::Rejected);
        m_highestFence = std::max(m_highestFence, fence);
        if (flight.order.kind == OrderKind::Load)
            return load(id, flight.order.model);
        if (flight.order.kind == OrderKind::Unload)
            m_resident.erase(flight.order.model);
        answer(id, OrderOutcome::Done);
    }

    void deliverIndex(int64_t id, const EngineIndex& read)
    {
        const auto& flight = m_flights[id];
        if (flight.answered || flight.answerLost || !onIndex)
            return;
        onIndex(flight.sender, read, m_now);
        answer(id, OrderOutcome::Done);
    }

    void load(int64_t id, const base::ModelId& model)
    {
        if (m_resident.emplace(model, false).second) {
            ++loadsBegun;
            overcommitted = overcommitted || used() > m_capacity;
        }
        schedule(m_now + m_specs.at(model).loadTime, [this, id, model, incarnation = m_incarnation] {
            auto place = m_resident.find(model);
            if (incarnation != m_incarnation || place == m_resident.end())
                return answer(id, OrderOutcome::Rejected);
            place->second = true;
            answer(id, OrderOutcome::Done);
        });
    }

    base::Bytes m_capacity;
    bool m_fencing;
    int m_incarnation = 0;
    base::Instant m_now;
    std::pair<base::Epoch, OrderId> m_highestFence;
    std::map<base::ModelId, ModelSpec> m_specs;
    // Resident models; true once ready.
    std::map<base::ModelId, bool> m_resident;
    std::map<int64_t, Flight> m_flights;
    int64_t m_lastFlight = 0;
    std::multimap<base::Instant, std::function<void()>> m_events;
};

} // namespace toucanstep::placement::testing
