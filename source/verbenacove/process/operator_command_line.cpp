#include "verbenacove/process/operator_command_line.hpp"

#include "verbenacove/version/config_change.hpp"

#include <QUuid>

#include <algorithm>
#include <array>
#include <getopt.h>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr int longest_timeout_s = 600;
constexpr int most_listed = 1000;

struct verb_rule
{
    char const* word;
    operator_verb verb;
    /** How many words may follow the verb. */
    int fewest;
    int most;
    /** What they are, for messages. */
    char const* words;
};

constexpr std::array<verb_rule, 9> verb_rules{{
    {"create", operator_verb::create, 2, 2, "KIND NAME"},
    {"read", operator_verb::read, 2, 2, "KIND NAME"},
    {"list", operator_verb::list, 1, 1, "KIND"},
    {"change", operator_verb::change, 2, 2, "KIND NAME"},
    {"delete", operator_verb::remove, 2, 2, "KIND NAME"},
    {"drain", operator_verb::drain, 2, 2, "upstream|zone|region NAME"},
    {"undrain", operator_verb::undrain, 2, 2, "upstream|zone|region NAME"},
    {"status", operator_verb::status, 0, 0, "nothing"},
    {"history", operator_verb::history, 0, 2, "[KIND [NAME]]"},
}};

boost::leaf::error_id wrong(QString text)
{
    return boost::leaf::new_error(command_line_error{std::move(text)});
}

boost::leaf::result<qint64> parse_number(char const* option,
                                         QString const& text, qint64 lowest,
                                         qint64 highest)
{
    bool is_number = false;
    auto const value = text.toLongLong(&is_number);
    if (!is_number || value < lowest || value > highest)
    {
        return wrong(QStringLiteral("--%1 %2: must be a whole number from %3 "
                                    "to %4")
                         .arg(QString::fromLatin1(option), text)
                         .arg(lowest)
                         .arg(highest));
    }
    return value;
}

boost::leaf::result<std::vector<socket_address>>
parse_controls(QString const& text)
{
    std::vector<socket_address> result;
    for (auto const& part : text.split(QLatin1Char(',')))
    {
        auto const address = parse_socket_address(part.trimmed());
        if (!address)
        {
            return wrong(QStringLiteral("--control %1: must be IP numbers and "
                                        "ports, such as 10.0.0.1:7003")
                             .arg(text));
        }
        result.push_back(*address);
    }
    return result;
}

boost::leaf::result<bool> parse_output(QString const& text)
{
    if (text != QLatin1String("json") && text != QLatin1String("table"))
    {
        return wrong(
            QStringLiteral("--output %1: must be json or table").arg(text));
    }
    return text == QLatin1String("json");
}

boost::leaf::result<QString> parse_author(QString const& text)
{
    record_errors errors;
    record_reader reader({{QStringLiteral("author"), text}}, errors);
    auto author = reader.word("author", longest_author);
    if (!errors.errors.empty())
    {
        return wrong(QStringLiteral("--author %1: %2")
                         .arg(text, errors.errors.front().allowed));
    }
    return author;
}

boost::leaf::result<change_id> parse_change_id(QString const& text)
{
    if (!is_record_name(text))
    {
        return wrong(QStringLiteral("--change-id %1: must be 1 to 64 letters, "
                                    "digits, '-', '_' or '.'")
                         .arg(text));
    }
    return change_id(text);
}

boost::leaf::result<void> take_control(operator_command& command,
                                       QString const& text)
{
    BOOST_LEAF_ASSIGN(command.controls, parse_controls(text));
    return {};
}

boost::leaf::result<void> take_output(operator_command& command,
                                      QString const& text)
{
    BOOST_LEAF_ASSIGN(command.is_json, parse_output(text));
    return {};
}

boost::leaf::result<void> take_schema(operator_command& command,
                                      QString const& text)
{
    BOOST_LEAF_AUTO(schema, parse_number("schema", text, 1, highest_schema));
    command.schema = static_cast<int>(schema);
    return {};
}

boost::leaf::result<void> take_change_id(operator_command& command,
                                         QString const& text)
{
    BOOST_LEAF_ASSIGN(command.id, parse_change_id(text));
    return {};
}

boost::leaf::result<void> take_expected(operator_command& command,
                                        QString const& text)
{
    BOOST_LEAF_AUTO(expected,
                    parse_number("expected-version", text, 0, highest_count));
    command.expected = record_version(expected);
    return {};
}

boost::leaf::result<void> take_file(operator_command& command,
                                    QString const& text)
{
    command.file = text;
    return {};
}

boost::leaf::result<void> take_author(operator_command& command,
                                      QString const& text)
{
    BOOST_LEAF_ASSIGN(command.author, parse_author(text));
    return {};
}

boost::leaf::result<void> take_timeout(operator_command& command,
                                       QString const& text)
{
    BOOST_LEAF_AUTO(seconds,
                    parse_number("timeout", text, 1, longest_timeout_s));
    command.timeout = std::chrono::seconds(seconds);
    return {};
}

boost::leaf::result<void> take_limit(operator_command& command,
                                     QString const& text)
{
    BOOST_LEAF_AUTO(limit, parse_number("limit", text, 1, most_listed));
    command.limit = static_cast<int>(limit);
    return {};
}

/** An option that has a value, and what takes it. */
struct option_rule
{
    char const* name;
    boost::leaf::result<void> (*take)(operator_command&, QString const&);
};

constexpr std::array<option_rule, 9> option_rules{{
    {"control", &take_control},
    {"output", &take_output},
    {"schema", &take_schema},
    {"change-id", &take_change_id},
    {"expected-version", &take_expected},
    {"file", &take_file},
    {"author", &take_author},
    {"timeout", &take_timeout},
    {"limit", &take_limit},
}};

/** The codes that getopt_long returns; an option with a value has the one of
    the first, and its place in the table. */
enum option_code
{
    option_help = 1000,
    option_version,
    option_first_with_value
};

std::vector<option> long_options()
{
    std::vector<option> result{
        {"help", no_argument, nullptr, option_help},
        {"version", no_argument, nullptr, option_version}};
    int code = option_first_with_value;
    for (auto const& rule : option_rules)
    {
        result.push_back({rule.name, required_argument, nullptr, code++});
    }
    result.push_back({nullptr, 0, nullptr, 0});
    return result;
}

boost::leaf::result<void> take_option(operator_command_line& line, int code)
{
    if (code == option_help || code == option_version)
    {
        line.is_help = line.is_help || code == option_help;
        line.is_version = line.is_version || code == option_version;
        return {};
    }
    auto const& rule = option_rules.at(
        static_cast<std::size_t>(code - option_first_with_value));
    return rule.take(line.command, QString::fromLocal8Bit(optarg));
}

boost::leaf::result<void> take_options(operator_command_line& line, int argc,
                                       char* const* argv)
{
    auto const options = long_options();
    optind = 0;
    opterr = 0;
    for (;;)
    {
        int const code = getopt_long(argc, argv, ":", options.data(), nullptr);
        if (code == -1)
        {
            return {};
        }
        if (code == '?' || code == ':')
        {
            auto const given =
                QString::fromLocal8Bit(argv[std::max(optind - 1, 1)]);
            return wrong(code == '?'
                             ? QStringLiteral("%1: unknown option").arg(given)
                             : QStringLiteral("%1: needs a value").arg(given));
        }
        BOOST_LEAF_CHECK(take_option(line, code));
    }
}

bool is_drain_verb(operator_verb verb)
{
    return verb == operator_verb::drain || verb == operator_verb::undrain;
}

bool is_write_verb(operator_verb verb)
{
    return verb == operator_verb::create || verb == operator_verb::change ||
           verb == operator_verb::remove || is_drain_verb(verb);
}

bool has_file(operator_verb verb)
{
    return verb == operator_verb::create || verb == operator_verb::change;
}

boost::leaf::result<void> take_drain(operator_command& command,
                                     QStringList const& words)
{
    auto const scope = parse_drain_scope(words.at(0));
    if (!scope || !is_record_name(words.at(1)))
    {
        return wrong(QStringLiteral("%1 %2: must be upstream, zone or region, "
                                    "and a name")
                         .arg(words.at(0), words.at(1)));
    }
    command.kind = record_kind::drain;
    command.scope = *scope;
    command.target = words.at(1);
    command.name = drain_name(command.scope, command.target);
    return {};
}

boost::leaf::result<void> take_kind(operator_command& command,
                                    QStringList const& words)
{
    if (words.isEmpty())
    {
        return {};
    }
    command.kind = parse_record_kind(words.at(0));
    if (!command.kind)
    {
        return wrong(QStringLiteral("%1: must be one of %2")
                         .arg(words.at(0),
                              record_kind_words().join(QStringLiteral(", "))));
    }
    if (is_write_verb(command.verb) && command.kind == record_kind::drain)
    {
        return wrong(QStringLiteral("drain: use the commands drain and "
                                    "undrain"));
    }
    command.name = words.value(1);
    return {};
}

boost::leaf::result<void> take_words(operator_command& command,
                                     QStringList words)
{
    if (words.isEmpty())
    {
        return wrong(QStringLiteral("a command is missing; see --help"));
    }
    auto const verb = words.takeFirst();
    auto const* const rule =
        std::find_if(verb_rules.begin(), verb_rules.end(),
                     [&](verb_rule const& candidate)
                     { return verb == QLatin1String(candidate.word); });
    if (rule == verb_rules.end())
    {
        return wrong(
            QStringLiteral("%1: unknown command; see --help").arg(verb));
    }
    if (words.size() < rule->fewest || words.size() > rule->most)
    {
        return wrong(QStringLiteral("%1: must be followed by %2")
                         .arg(verb, QString::fromLatin1(rule->words)));
    }
    command.verb = rule->verb;
    return is_drain_verb(command.verb) ? take_drain(command, words)
                                       : take_kind(command, words);
}

boost::leaf::result<void> check_whole(operator_command const& command)
{
    if (command.controls.empty())
    {
        return wrong(QStringLiteral("--control is missing: the operators' "
                                    "addresses of control replicas"));
    }
    if (has_file(command.verb) && command.file.isEmpty())
    {
        return wrong(QStringLiteral("--file is missing: the record as JSON, "
                                    "or - for standard input"));
    }
    if (!has_file(command.verb) && !command.file.isEmpty())
    {
        return wrong(QStringLiteral("--file is only for create and change"));
    }
    bool const is_repeatable = command.id.value().isEmpty() ||
                               command.expected || !is_write_verb(command.verb);
    if (!is_repeatable)
    {
        return wrong(QStringLiteral("--change-id needs --expected-version, so "
                                    "that a resend is the same change"));
    }
    return {};
}

void fill_in(operator_command& command)
{
    if (command.id.value().isEmpty())
    {
        command.id =
            change_id(QUuid::createUuid().toString(QUuid::WithoutBraces));
    }
    auto const user = qEnvironmentVariable("USER");
    if (command.author.isEmpty())
    {
        command.author =
            is_record_name(user) ? user : QStringLiteral("operator");
    }
}

} // namespace

boost::leaf::result<operator_command_line>
parse_operator_command_line(int argc, char* const* argv)
{
    operator_command_line result;
    BOOST_LEAF_CHECK(take_options(result, argc, argv));
    if (result.is_help || result.is_version)
    {
        return result;
    }
    QStringList words;
    for (int i = optind; i < argc; ++i)
    {
        words += QString::fromLocal8Bit(argv[i]);
    }
    BOOST_LEAF_CHECK(take_words(result.command, words));
    BOOST_LEAF_CHECK(check_whole(result.command));
    fill_in(result.command);
    return result;
}

char const* operator_help()
{
    return R"(verbenactl: changes and shows the configuration of verbenacove

Usage: verbenactl --control ADDRESS[,ADDRESS...] COMMAND [OPTION...]

Commands
  create KIND NAME --file F      create a record
  change KIND NAME --file F      replace a record; in an older schema, only
                                 what that schema can say
  read KIND NAME                 show a record
  list KIND                      show all records of a kind
  delete KIND NAME               delete a record
  drain SCOPE NAME               send no new work to an upstream, a zone or
                                 a region
  undrain SCOPE NAME             end a drain
  explain ID FILE...             tell the way of one request by the processes'
                                 logs
  status                         show replicas, entries and upstreams
  history [KIND [NAME]]          show accepted changes, the latest first

KIND is service, place, limit, rule or drain; SCOPE is upstream, zone or
region.

Options
  --control A:P,...       operators' addresses of control replicas
  --output table|json     how to print; table by default
  --schema N              the schema version to write or read; the newest by
                          default, or what the file's "schema" says
  --file FILE             the record as JSON; - for standard input
  --expected-version N    the record's version that you know; by default the
                          one that is read just before
  --change-id ID          the change's id, to send a change again; needs
                          --expected-version; made when not given
  --author NAME           who asks for the change; by default the user
  --timeout SECONDS       the longest time for each request; 15 by default
  --limit N               how many records or changes to show; 100 by default
  --help, --version

Exit codes
  0  done
  2  the command line or the record's file is wrong
  3  conflict: another change holds the version
  4  refused, or no such record
  5  no control replica or no majority could be reached; nothing was changed
  6  the change may have been accepted: send it again with the same change id
)";
}

} // namespace verbenacove
