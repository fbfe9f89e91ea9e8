// Simulated engine behind a network that delays, drops and duplicates orders; the test oracle for ResidencyManager.
//
// Time advances only through advance(). The test chooses each order's delays, up to `horizon`; an order can take effect
// after its sender has timed out or crashed.

#pragma once

#include "toucanstep/base/Text.h"
#include "toucanstep/placement/ResidencyManager.h"

#include <functional>
#include <map>
#include <vector>

namespace toucanstep::placement::testing {

using namespace std::chrono_literals;

// How the network delivers one order. Delays count from sending; a copy without a delay is lost.
struct Delivery {
    std::optional<base::Duration> firstDelay;
    std::optional<base::Duration> duplicateDelay;
    bool answerLost = false;
    // Delay between reading an index and its arrival.
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

    // Sends an order of the sidecar process `sender`, which is passed on to the callbacks with the answer.
    void send(int sender, const ResidencyOrder& order, const Delivery& delivery, base::Instant now)
    {
        InFlightOrder inFlight { sender, order, now, delivery.answerLost, delivery.indexDelay };
        m_inFlight[++m_lastId] = inFlight;
        if (delivery.firstDelay)
            schedule(now + *delivery.firstDelay, [this, id = m_lastId] { deliver(id, true); });
        if (delivery.duplicateDelay)
            schedule(now + *delivery.duplicateDelay, [this, id = m_lastId] { deliver(id, false); });
        schedule(order.deadline, [this, id = m_lastId] { answer(id, OrderOutcome::TimedOut); });
    }

    // Runs all events due up to `target`.
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
    struct InFlightOrder {
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
        auto& inFlight = m_inFlight[id];
        if (inFlight.answered || (inFlight.answerLost && outcome != OrderOutcome::TimedOut))
            return;
        inFlight.answered = true;
        if (onAnswer)
            onAnswer(inFlight.sender, inFlight.order.id, outcome, m_now);
    }

    void deliver(int64_t id, bool isFirst)
    {
        const auto inFlight = m_inFlight[id];
        if (inFlight.order.kind == OrderKind::ReadIndex) {
            if (isFirst)
                schedule(m_now + inFlight.indexDelay, [this, id, read = index()] { deliverIndex(id, read); });
            return;
        }
        std::pair fence(inFlight.order.epoch, inFlight.order.id);
        if (m_fencing && fence < m_highestFence)
            return answer(id, OrderOutcome::Rejected);
        m_highestFence = std::max(m_highestFence, fence);
        if (inFlight.order.kind == OrderKind::Load)
            return load(id, inFlight.order.model);
        if (inFlight.order.kind == OrderKind::Unload)
            m_resident.erase(inFlight.order.model);
        answer(id, OrderOutcome::Done);
    }

    void deliverIndex(int64_t id, const EngineIndex& read)
    {
        const auto& inFlight = m_inFlight[id];
        if (inFlight.answered || inFlight.answerLost || !onIndex)
            return;
        onIndex(inFlight.sender, read, m_now);
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
    // Resident models; the value is true once the model is ready.
    std::map<base::ModelId, bool> m_resident;
    std::map<int64_t, InFlightOrder> m_inFlight;
    int64_t m_lastId = 0;
    std::multimap<base::Instant, std::function<void()>> m_events;
};

} // namespace toucanstep::placement::testing
