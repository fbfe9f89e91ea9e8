// Deficit round robin over named flows. The flows that are ready and their next costs are passed in at each choice.
//
// A flow is served in its turn while its deficit counter is positive. Its last cost may make the counter negative; later
// rounds repay this debt, also while the flow has nothing queued. So a large request of a small flow waits for one turn
// instead of many, and a flow that sends one large request after the other gains nothing by it.
//
// choose() does not change the state, so that schedulers can be nested: the inner choices are computed first, and only
// the selected one is passed to serve(). Rounds in which no flow is served are computed instead of iterated, so a cost of
// many quanta takes no more time than a small one.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::routing::internal {

// A flow with a request that can be served now.
struct ReadyFlow {
    std::string name;
    int64_t weight = 1;
    int64_t cost = 0;
};

struct FlowChoice {
    size_t index = 0;
    // Turns that the chosen flow gets before it is served; 0 if its current turn continues.
    int64_t rounds = 0;
};

class DeficitRoundRobin {
public:
    explicit DeficitRoundRobin(int64_t quantum)
        : m_quantum(std::max<int64_t>(1, quantum))
    {
    }

    // `flows` must be sorted by name.
    std::optional<FlowChoice> choose(const std::vector<ReadyFlow>& flows) const
    {
        std::optional<FlowChoice> best;
        for (auto index : turnOrder(flows)) {
            auto rounds = roundsNeeded(flows[index]);
            if (!best || rounds < best->rounds)
                best = FlowChoice { index, rounds };
        }
        return best;
    }

    void serve(const FlowChoice& choice, const std::vector<ReadyFlow>& flows)
    {
        repayDebts(choice.rounds, flows);
        bool beforeOrAtChosen = true;
        for (auto index : turnOrder(flows)) {
            auto turns = beforeOrAtChosen ? choice.rounds : choice.rounds - 1;
            auto& state = m_states[flows[index].name];
            state.quantum = flowQuantum(flows[index]);
            state.deficit += std::max<int64_t>(0, turns) * state.quantum;
            if (index == choice.index)
                beforeOrAtChosen = false;
        }
        m_states[flows[choice.index].name].deficit -= flows[choice.index].cost;
        m_currentFlow = flows[choice.index].name;
    }

    // Discards the credit of a flow that has nothing queued; a debt is kept.
    void discardCredit(const std::string& name)
    {
        auto found = m_states.find(name);
        if (found != m_states.end() && found->second.deficit >= 0)
            m_states.erase(found);
    }

    // Cancels all debts once nothing is queued in any flow, since then no flow is waiting because of them.
    void clear() { m_states.clear(); }

private:
    struct FlowState {
        int64_t deficit = 0;
        int64_t quantum = 1;
    };

    int64_t flowQuantum(const ReadyFlow& flow) const { return m_quantum * std::max<int64_t>(1, flow.weight); }

    int64_t deficit(const std::string& name) const
    {
        auto found = m_states.find(name);
        return found == m_states.end() ? 0 : found->second.deficit;
    }

    int64_t roundsNeeded(const ReadyFlow& flow) const
    {
        auto credit = deficit(flow.name);
        if (credit > 0)
            return flow.name == m_currentFlow ? 0 : 1;
        return -credit / flowQuantum(flow) + 1;
    }

    void repayDebts(int64_t rounds, const std::vector<ReadyFlow>& flows)
    {
        for (auto next = m_states.begin(); next != m_states.end();) {
            auto current = next++;
            auto isReady = std::any_of(flows.begin(), flows.end(), [&](const auto& flow) { return flow.name == current->first; });
            if (isReady || current->second.deficit >= 0)
                continue;
            current->second.deficit += rounds * current->second.quantum;
            if (current->second.deficit >= 0)
                m_states.erase(current);
        }
    }

    // The flows after the current one by name, then from the first name on; the current flow last. While it has credit,
    // choose() still selects it, because it needs no further round.
    std::vector<size_t> turnOrder(const std::vector<ReadyFlow>& flows) const
    {
        std::vector<size_t> order;
        auto after = std::find_if(flows.begin(), flows.end(), [&](const auto& flow) { return flow.name > m_currentFlow; });
        for (auto flow = after; flow != flows.end(); ++flow)
            order.push_back(static_cast<size_t>(flow - flows.begin()));
        for (auto flow = flows.begin(); flow != after; ++flow)
            order.push_back(static_cast<size_t>(flow - flows.begin()));
        return order;
    }

    int64_t m_quantum;
    std::string m_currentFlow;
    std::map<std::string, FlowState> m_states;
};

} // namespace toucanstep::routing::internal
