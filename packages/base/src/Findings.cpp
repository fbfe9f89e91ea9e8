#include "toucanstep/base/Findings.h"

#include "toucanstep/base/Text.h"
#include <algorithm>
#include <tuple>

namespace toucanstep::base {

namespace {

std::string renderOne(const Finding& finding)
{
    std::string line = concat(finding.place.file, ":", finding.place.line, ":", finding.place.column, ": ");
    append(line, finding.severity == Severity::Error ? "error: " : "warning: ");
    if (!finding.path.empty())
        append(line, finding.path, ": ");
    append(line, finding.message);
    if (!finding.suggestion.empty())
        append(line, " (", finding.suggestion, ")");
    append(line, "\n");
    return line;
}

} // namespace

void Findings::add(Finding finding)
{
    m_findings.push_back(std::move(finding));
}

void Findings::append(const Findings& other)
{
    m_findings.insert(m_findings.end(), other.m_findings.begin(), other.m_findings.end());
}

bool Findings::hasErrors() const
{
    return std::any_of(m_findings.begin(), m_findings.end(), [](const Finding& finding) { return finding.severity == Severity::Error; });
}

std::string Findings::render() const
{
    std::vector<Finding> ordered = m_findings;
    std::stable_sort(ordered.begin(), ordered.end(), [](const Finding& left, const Finding& right) {
        return std::tie(left.place.file, left.place.line, left.place.column) < std::tie(right.place.file, right.place.line, right.place.column);
    });
    std::string text;
    for (const Finding& finding : ordered)
        text += renderOne(finding);
    return text;
}

} // namespace toucanstep::base
