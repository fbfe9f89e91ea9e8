#include "toucanstep/node/StrikeExchange.h"

#include "toucanstep/node/StrikeText.h"

namespace toucanstep::node {

StrikeExchange::StrikeExchange(Node& node, MembershipAgent& members, StrikeKeeper& keeper)
    : m_node(node)
    , m_members(members)
    , m_keeper(keeper)
{
}

void StrikeExchange::install()
{
    m_members.onMember([this](const membership::Entry& entry) { onMember(entry); });
    m_node.addSystem([this](base::Instant) { tellStrikes(); });
}

void StrikeExchange::onMember(const membership::Entry& entry)
{
    m_node.versionSeen(entry.instance, entry.hints.configuration);
    std::vector<routing::StrikeMessage> strikes;
    for (const std::string& text : entry.hints.strikes) {
        if (auto strike = parseStrike(text))
            strikes.push_back(*strike);
    }
    if (!strikes.empty())
        m_node.traffic().post([this, strikes] { m_keeper.mergeStrikes(strikes); });
}

void StrikeExchange::tellStrikes()
{
    m_node.traffic().post([this] {
        auto strikes = m_keeper.takeChangedStrikes();
        if (!strikes)
            return;
        std::vector<std::string> texts;
        for (const routing::StrikeMessage& strike : *strikes)
            texts.push_back(strikeText(strike));
        m_node.control().post([this, texts] { m_members.setStrikes(texts); });
    });
}

} // namespace toucanstep::node
