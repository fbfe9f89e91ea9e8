// Finds what has changed in a set of values since earlier reports to peers, so that a report carries only that.
//
// Reports may be lost, so each change is part of several reports in a row. A receiver that has missed all of them is corrected by
// the next complete report.

#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace toucanstep::serving {

template <typename Key, typename Value>
class ChangeTracker {
public:
    // The changes to report now; no value for a key that is gone.
    std::vector<std::pair<Key, std::optional<Value>>> takeChanges(const std::map<Key, Value>& current)
    {
        for (const auto& [key, value] : current) {
            Sent& sent = m_sent[key];
            if (sent.value != value)
                sent = { value, reportsPerChange };
        }
        std::vector<std::pair<Key, std::optional<Value>>> changes;
        for (auto entry = m_sent.begin(); entry != m_sent.end();) {
            auto& [key, sent] = *entry;
            if (sent.value && !current.contains(key))
                sent = { std::nullopt, reportsPerChange };
            if (sent.reportsLeft) {
                changes.emplace_back(key, sent.value);
                --sent.reportsLeft;
            }
            entry = sent.value || sent.reportsLeft ? std::next(entry) : m_sent.erase(entry);
        }
        return changes;
    }

private:
    static constexpr int reportsPerChange = 2;

    struct Sent {
        std::optional<Value> value;
        int reportsLeft = 0;
    };
    std::map<Key, Sent> m_sent;
};

} // namespace toucanstep::serving
