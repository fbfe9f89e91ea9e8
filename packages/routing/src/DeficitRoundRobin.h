// Deficit round robin over named flows whose next costs are known only when asked.
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
    // Times that the turn comes to the chosen flow before it can pay; 0 if it still has enough from its present turn.
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
        bool beforeOrAtChosen = true;
        for (auto index : turnOrder(offers)) {
            // The flow whose turn it is has had its quantum of the first round; turnOrder puts it last once it can't pay.
            auto turns = beforeOrAtChosen ? choice.rounds : choice.rounds - 1;
            m_deficits[offers[index].flow] += std::max<int64_t>(0, turns) * gain(offers[index]);
            if (index == choice.offer)
                beforeOrAtChosen = false;
        }
        m_deficits[offers[choice.offer].flow] -= offers[choice.offer].cost;
        m_current = offers[choice.offer].flow;
    }

    // A flow with nothing queued saves nothing.
    void drop(const std::string& flow) { m_deficits.erase(flow); }

private:
    int64_t gain(const FlowOffer& offer) const { return m_quantum * std::max<int64_t>(1, offer.weight); }

    int64_t deficit(const std::string& flow) const
    {
        auto place = m_deficits.find(flow);
        return place == m_deficits.end() ? 0 : place->second;
    }

    int64_t roundsNeeded(const FlowOffer& offer) const
    {
        auto missing = offer.cost - deficit(offer.flow);
        if (offer.flow == m_current && missing <= 0)
            return 0;
        return std::max<int64_t>(1, (missing + gain(offer) - 1) / gain(offer));
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
    std::map<std::string, int64_t> m_deficits;
};

} // namespace toucanstep::routing::internal
