// Findings about an operator's text, collected with their place and reported together.
//
//     Findings findings;
//     findings.add({ .place = place, .path = "accounts.farm.rate", .message = "must be positive" });
//     std::cout << findings.render();

#pragma once

#include <string>
#include <vector>

namespace toucanstep::base {

// A place in a text; lines and columns count from 1. Zero means that the place is not known.
struct Place {
    std::string file;
    int line = 0;
    int column = 0;
};

enum class Severity {
    Error,
    Warning,
};

struct Finding {
    Place place;
    Severity severity = Severity::Error;
    // The dotted path of the value, for example `accounts.farm.rate`.
    std::string path;
    std::string message;
    // What would be right; empty where nothing can be proposed.
    std::string suggestion;
};

class Findings {
public:
    void add(Finding);
    void append(const Findings&);
    const std::vector<Finding>& all() const { return m_findings; }
    bool empty() const { return m_findings.empty(); }
    bool hasErrors() const;
    // One line for each finding: `FILE:LINE:COLUMN: severity: path: message (suggestion)`, ordered by place.
    std::string render() const;

private:
    std::vector<Finding> m_findings;
};

} // namespace toucanstep::base
