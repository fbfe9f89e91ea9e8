// Deficit round robin over named flows whose next costs are known only when asked.
//
// A flow is served in its turn while its deficit is above zero, and may fall into debt by its last cost, which later rounds
// pay off, also while it has nothing queued. So a large request of a small flow waits for one turn and not for many, and a
// flow that sends one large request after the other gains nothing by it.
//
// choose() and serve() are apart, so that a choice nested in another's can be looked at without being taken. Empty rounds
// are counted, not walked through, so a cost of many quanta takes no more time than a small one.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::routing::internal {

// A flow that has something to serve now.
struct FlowOffer {
    std::string flow;
    int64_t weight = 1;
    int64_t cost = 0;
};

struct FlowChoice {
    size_t offer = 0;
    // Times that the turn comes to the chosen flow before it is served; 0 if its present turn goes on.
    int64_t rounds = 0;
};

class DeficitRoundRobin {
public:
    explicit DeficitRoundRobin(int64_t quantum)
        : m_quantum(std::max<int64_t>(1, quantum))
    {
    }

    // `offers` in the order of the flows' names.
    std::optional<FlowChoice> choose(const std::vector<FlowOffer>& offers) const
    {
        std::optional<FlowChoice> best;
        for (auto index : turnOrder(offers)) {
            auto rounds = roundsNeeded(offers[index]);
            if (!best || rounds < best->rounds)
                best = FlowChoice { index, rounds };
        }
        return best;
    }

    void serve(const FlowChoice& choice, const std::vector<FlowOffer>& offers)
    {
        payDebts(choice.rounds, offers);
        bool beforeOrAtChosen = true;
        for (auto index : turnOrder(offers)) {
            auto turns = beforeOrAtChosen ? choice.rounds : choice.rounds - 1;
            auto& state = m_states[offers[index].flow];
            state.gain = gain(offers[index]);
            state.deficit += std::max<int64_t>(0, turns) * state.gain;
            if (index == choice.offer)
                beforeOrAtChosen = false;
        }
        m_states[offers[choice.offer].flow].deficit -= offers[choice.offer].cost;
        m_current = offers[choice.offer].flow;
    }

    // A flow with nothing queued saves nothing, and keeps its debt.
    void drop(const std::string& flow)
    {
        auto place = m_states.find(flow);
        if (place != m_states.end() && place->second.deficit >= 0)
            m_states.erase(place);
    }

    // Nothing is queued at all: nobody was kept waiting by what was served.
    void clear() { m_states.clear(); }

private:
    struct State {
        int64_t deficit = 0;
        int64_t gain = 1;
    };

    int64_t gain(const FlowOffer& offer) const { return m_quantum * std::max<int64_t>(1, offer.weight); }

    int64_t deficit(const std::string& flow) const
    {
        auto place = m_states.find(flow);
        return place == m_states.end() ? 0 : place->second.deficit;
    }

    int64_t roundsNeeded(const FlowOffer& offer) const
    {
        auto saved = deficit(offer.flow);
        if (saved > 0)
            return offer.flow == m_current ? 0 : 1;
        return -saved / gain(offer) + 1;
    }

    void payDebts(int64_t rounds, const std::vector<FlowOffer>& offers)
    {
        for (auto place = m_states.begin(); place != m_states.end();) {
            auto current = place++;
            auto isOffered = std::any_of(offers.begin(), offers.end(), [&](const auto& offer) { return offer.flow == current->first; });
            if (isOffered || current->second.deficit >= 0)
                continue;
            current->second.deficit += rounds * current->second.gain;
            if (current->second.deficit >= 0)
                m_states.erase(current);
        }
    }

    // The present flow first while it can pay, then the flows after it, the present one last.
    std::vector<size_t> turnOrder(const std::vector<FlowOffer>& offers) const
    {
        std::vector<size_t> order;
        auto after = std::find_if(offers.begin(), offers.end(), [&](const auto& offer) { return offer.flow > m_current; });
        for (auto place = after; place != offers.end(); ++place)
            order.push_back(static_cast<size_t>(place - offers.begin()));
        for (auto place = offers.begin(); place != after; ++place)
            order.push_back(static_cast<size_t>(place - offers.begin()));
        return order;
    }

    int64_t m_quantum;
    std::string m_current;
    std::map<std::string, State> m_states;
};

} // namespace toucanstep::routing::internal
