#include "toucanstep/cli/Command.h"

#include <algorithm>

namespace toucanstep::cli {

namespace {

// A function's static, because commands register from other files in an order that is not known.
std::vector<std::unique_ptr<Command>>& registry()
{
    static std::vector<std::unique_ptr<Command>> commands;
    return commands;
}

} // namespace

Syntax::Syntax()
    : m_visible("Options")
{
    addFlag("help", "print this help");
}

void Syntax::addOption(const std::string& name, const std::string& description, const std::string& fallback)
{
    auto* value = options::value<std::string>();
    if (!fallback.empty())
        value->default_value(fallback);
    m_visible.add_options()(name.c_str(), value, description.c_str());
    m_optionNames.push_back(name);
}

void Syntax::addFlag(const std::string& name, const std::string& description)
{
    m_visible.add_options()(name.c_str(), description.c_str());
    m_optionNames.push_back(name);
}

void Syntax::addOperand(const std::string& name, const std::string& description)
{
    m_hidden.add_options()(name.c_str(), options::value<std::string>(), description.c_str());
    m_operands.push_back(name);
}

void Syntax::addOptionalOperand(const std::string& name, const std::string& description)
{
    m_hidden.add_options()(name.c_str(), options::value<std::string>(), description.c_str());
    m_optionalOperands.push_back(name);
}

options::options_description Syntax::all() const
{
    options::options_description all;
    all.add(m_visible).add(m_hidden);
    return all;
}

options::positional_options_description Syntax::positions() const
{
    options::positional_options_description positions;
    for (const std::string& operand : m_operands)
        positions.add(operand.c_str(), 1);
    for (const std::string& operand : m_optionalOperands)
        positions.add(operand.c_str(), 1);
    return positions;
}

std::string Arguments::text(const std::string& name) const
{
    return m_values.count(name) == 0 ? std::string() : m_values[name].as<std::string>();
}

std::vector<const Command*> allCommands()
{
    std::vector<const Command*> commands;
    for (const std::unique_ptr<Command>& command : registry())
        commands.push_back(command.get());
    std::sort(commands.begin(), commands.end(), [](const Command* left, const Command* right) { return left->name() < right->name(); });
    return commands;
}

void addCommand(std::unique_ptr<Command> command)
{
    registry().push_back(std::move(command));
}

} // namespace toucanstep::cli
