#include "toucanstep/config/TextHistory.h"

#include <algorithm>

namespace toucanstep::config {

TextHistory::TextHistory(size_t kept)
    : m_kept(std::max<size_t>(kept, 1))
{
}

void TextHistory::add(base::Revision version, std::string text)
{
    if (!m_texts.empty() && version <= m_texts.rbegin()->first)
        return;
    m_texts.emplace(version, std::move(text));
    if (m_texts.size() > m_kept)
        m_texts.erase(m_texts.begin());
    m_answers.clear();
}

const std::string& TextHistory::answerTo(base::Revision known)
{
    static const std::string nothing;
    if (m_texts.empty() || known >= m_texts.rbegin()->first)
        return nothing;
    auto base = m_texts.find(known);
    VersionedText before = base == m_texts.end() ? VersionedText {} : VersionedText { known, base->second };
    auto [answer, missing] = m_answers.try_emplace(before.version);
    if (missing)
        answer->second = encodeDelta(makeDelta(before, { m_texts.rbegin()->first, m_texts.rbegin()->second }));
    return answer->second;
}

base::Result<PublishedText> TextHistory::readAnswer(std::string_view answer) const
{
    BOOST_LEAF_AUTO(delta, decodeDelta(answer));
    auto base = m_texts.find(delta.from);
    if (base == m_texts.end() && delta.from != base::Revision())
        return base::fail(base::ErrorKind::Malformed, "the answer leads from a version that is not here");
    BOOST_LEAF_AUTO(text, applyDelta(delta, base == m_texts.end() ? std::string_view() : base->second));
    return PublishedText { delta.to, std::move(text) };
}

} // namespace toucanstep::config
