// The last texts that a node had in force, so that it can give a peer that is behind a delta in place of the whole text.
//
//     history.add(version, text);                               // each time a version comes into force
//     std::string answer = history.answerTo(known);             // for a peer that has `known` in force
//     Result<PublishedText> newer = history.readAnswer(answer); // at that peer, with its own history
//
// An answer is always a delta; a whole text is one from version 0, the empty text. Not safe for use by several threads.

#pragma once

#include "toucanstep/config/Delta.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace toucanstep::config {

struct PublishedText {
    base::Revision version;
    std::string text;
};

class TextHistory {
public:
    // Texts beyond the last `kept` are forgotten; peers that are further behind get the whole text.
    explicit TextHistory(size_t kept = 4);

    // Versions that are not newer than the newest are left aside.
    void add(base::Revision version, std::string text);
    // The way from `known` to the newest text here, encoded; empty where `known` is not behind it.
    const std::string& answerTo(base::Revision known);
    // Malformed where the bytes are no answer, or lead from a text that is not here. Ask again with version 0 known then.
    base::Result<PublishedText> readAnswer(std::string_view answer) const;

private:
    size_t m_kept;
    std::map<base::Revision, std::string> m_texts;
    // Answers by the version they lead from: after a change most nodes ask from the same one.
    std::map<base::Revision, std::string> m_answers;
};

} // namespace toucanstep::config
