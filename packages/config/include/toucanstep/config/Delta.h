// Deltas between two versions of the text, so that a change of one field does not move the whole text to every node.
//
//     std::string wire = encodeDelta(makeDelta(before, after));
//     ...
//     Result<Delta> delta = decodeDelta(wire);
//     Result<std::string> after = applyDelta(*delta, before);
//
// Applying is exact: the result is compared by its SHA-256 with the text from which the delta was made, so a delta that
// meets another base, or was damaged, fails and never gives a text that nobody published.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace toucanstep::config {

// Bytes of the base that stand in the result unchanged.
struct CopyStep {
    size_t offset = 0;
    size_t length = 0;

    bool operator==(const CopyStep&) const = default;
};

// Bytes that the base does not have.
struct InsertStep {
    std::string bytes;

    bool operator==(const InsertStep&) const = default;
};

using DeltaStep = std::variant<CopyStep, InsertStep>;

struct VersionedText {
    base::Revision version;
    std::string_view text;
};

struct Delta {
    // The versions that it leads from and to.
    base::Revision from;
    base::Revision to;
    // SHA-256 of the result in hexadecimal.
    std::string digest;
    std::vector<DeltaStep> steps;

    bool operator==(const Delta&) const = default;
};

Delta makeDelta(const VersionedText& before, const VersionedText& after);

// Malformed where the base is not the text that the delta was made from, or the result would be above the size of a text.
base::Result<std::string> applyDelta(const Delta&, std::string_view before);

std::string encodeDelta(const Delta&);
// Malformed where the bytes do not have the form that encodeDelta gives.
base::Result<Delta> decodeDelta(std::string_view);

} // namespace toucanstep::config
