// What is different between two configurations, by path: for `diff`, and for the loser of a race to publish.
//
//     for (const Change& change : difference(before, after))
//         std::cout << change.text() << "\n";

#pragma once

#include "toucanstep/config/Configuration.h"

#include <string>
#include <vector>

namespace toucanstep::config {

enum class ChangeKind {
    Added,
    Dropped,
    Changed,
};

struct Change {
    ChangeKind kind = ChangeKind::Changed;
    // The dotted path of an entry, a field, or an element of a list, for example `accounts.farm.burst`.
    std::string path;
    // The values as the text would write them. Empty for a whole entry, and on the side that lacks it.
    std::string before;
    std::string after;

    bool operator==(const Change&) const = default;
    // For example `changed accounts.farm.burst: 500 -> 600`.
    std::string text() const;
};

std::string_view changeKindName(ChangeKind);

// Ordered by section, then by id and field. Versions, notes, comments and the order of entries make no difference; a
// default that is written out is the same as one that is left out.
std::vector<Change> difference(const Configuration& before, const Configuration& after);

// One line for each change.
std::string renderDifference(const std::vector<Change>&);

} // namespace toucanstep::config
