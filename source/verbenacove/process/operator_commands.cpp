#include "verbenacove/process/operator_commands.hpp"

#include "verbenacove/process/operator_output.hpp"

#include <QFile>
#include <QJsonDocument>

#include <boost/leaf/handle_errors.hpp>

#include <cstdio>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 largest_file_bytes = 128 * 1024;

/** Reads a record's file, `-` being standard input. */
boost::leaf::result<QJsonObject> load_record(QString const& name)
{
    QFile file(name);
    bool const is_open = name == QLatin1String("-")
                             ? file.open(stdin, QIODevice::ReadOnly)
                             : file.open(QIODevice::ReadOnly);
    if (!is_open)
    {
        return boost::leaf::new_error(command_line_error{
            name + QStringLiteral(": cannot be read: ") + file.errorString()});
    }
    auto const text = file.read(largest_file_bytes + 1);
    if (text.size() > largest_file_bytes)
    {
        return boost::leaf::new_error(command_line_error{
            name + QStringLiteral(": is larger than 128 KiB")});
    }
    QJsonParseError error;
    auto const document = QJsonDocument::fromJson(text, &error);
    if (!document.isObject())
    {
        return boost::leaf::new_error(command_line_error{
            QStringLiteral("%1: must be a JSON object: %2 at byte %3")
                .arg(name, error.errorString())
                .arg(error.offset)});
    }
    return document.object();
}

/** Takes a file's own `schema`, which must agree with the command line's. */
boost::leaf::result<int> take_schema(QJsonObject& record,
                                     operator_command const& command)
{
    auto const own = record.take(QStringLiteral("schema"));
    if (own.isUndefined())
    {
        return command.schema.value_or(newest_schema);
    }
    auto const schema = own.toInt(-1);
    if (schema < 0 || command.schema.value_or(schema) != schema)
    {
        return boost::leaf::new_error(command_line_error{
            command.file +
            QStringLiteral(": schema: must be a whole number, and that of "
                           "--schema")});
    }
    return schema;
}

operator_exit exit_of(change_result const& result)
{
    switch (result.outcome)
    {
    case change_outcome::accepted:
        return operator_exit::success;
    case change_outcome::conflict:
        return operator_exit::conflict;
    case change_outcome::refused:
        break;
    }
    return operator_exit::refused;
}

QJsonObject kind_and_schema(operator_command const& command)
{
    return {{QStringLiteral("kind"), record_kind_word(*command.kind)},
            {QStringLiteral("schema"), command.schema.value_or(newest_schema)}};
}

bool is_removal(operator_verb verb)
{
    return verb == operator_verb::remove || verb == operator_verb::undrain;
}

} // namespace

operator_commands::operator_commands(operator_client& client, printer output,
                                     printer notes)
    : client_(client)
    , output_(std::move(output))
    , notes_(std::move(notes))
{
}

operator_exit operator_commands::run(operator_command const& command)
{
    using runner = boost::leaf::result<operator_exit> (operator_commands::*)(
        operator_command const&);
    static std::array<runner, 9> const runners{
        &operator_commands::run_change, &operator_commands::run_read,
        &operator_commands::run_list,   &operator_commands::run_change,
        &operator_commands::run_change, &operator_commands::run_change,
        &operator_commands::run_change, &operator_commands::run_status,
        &operator_commands::run_history};
    return boost::leaf::try_handle_all(
        [&]
        {
            return (this->*runners.at(static_cast<std::size_t>(command.verb)))(
                command);
        },
        [&](command_line_error const& error)
        {
            notes_(error.text);
            return operator_exit::usage;
        },
        [&](request_invalid const& error)
        {
            notes_(error.reasons);
            return operator_exit::refused;
        },
        [&](control_unreachable const& error)
        {
            notes_(QStringLiteral("No control replica could answer; nothing "
                                  "was changed.\n") +
                   error.reasons);
            return operator_exit::unreachable;
        },
        [&](outcome_unknown const&)
        {
            note_resend(command);
            return operator_exit::unknown;
        },
        [&]
        {
            notes_(QStringLiteral("An error without a name."));
            return operator_exit::unknown;
        });
}

boost::leaf::result<operator_exit>
operator_commands::run_read(operator_command const& command)
{
    auto parameters = kind_and_schema(command);
    parameters.insert(QStringLiteral("name"), command.name);
    return answer(command, QStringLiteral("read"), parameters);
}

boost::leaf::result<operator_exit>
operator_commands::run_list(operator_command const& command)
{
    auto parameters = kind_and_schema(command);
    parameters.insert(QStringLiteral("limit"), command.limit);
    return answer(command, QStringLiteral("list"), parameters);
}

boost::leaf::result<operator_exit>
operator_commands::run_history(operator_command const& command)
{
    QJsonObject parameters{{QStringLiteral("limit"), command.limit}};
    if (command.kind)
    {
        parameters.insert(QStringLiteral("kind"),
                          record_kind_word(*command.kind));
    }
    if (!command.name.isEmpty())
    {
        parameters.insert(QStringLiteral("name"), command.name);
    }
    return answer(command, QStringLiteral("history"), parameters);
}

boost::leaf::result<operator_exit>
operator_commands::run_status(operator_command const& command)
{
    return answer(command, QStringLiteral("status"), {});
}

boost::leaf::result<operator_exit>
operator_commands::run_change(operator_command const& command)
{
    BOOST_LEAF_AUTO(change, change_of(command));
    sent_version_ = change.expected;
    notes_(QStringLiteral("change id %1, expected version %2")
               .arg(change.id.value())
               .arg(change.expected.value()));
    BOOST_LEAF_AUTO(result, client_.change(change));
    auto shown = change_result_to_cbor(result).toJsonObject();
    shown.insert(QStringLiteral("change_id"), change.id.value());
    shown.insert(QStringLiteral("kind"), record_kind_word(change.kind));
    shown.insert(QStringLiteral("name"), change.name);
    print(command, shown);
    return exit_of(result);
}

boost::leaf::result<config_change>
operator_commands::change_of(operator_command const& command)
{
    config_change change;
    change.id = command.id;
    change.author = command.author;
    change.kind = *command.kind;
    change.name = command.name;
    if (is_removal(command.verb))
    {
        change.action = change_action::remove;
    }
    else if (command.verb == operator_verb::drain)
    {
        change.record = record_to_json(
            drain_record{command.scope, command.target}, change.schema);
    }
    else
    {
        BOOST_LEAF_ASSIGN(change.record, load_record(command.file));
        BOOST_LEAF_ASSIGN(change.schema, take_schema(change.record, command));
    }
    if (command.expected)
    {
        change.expected = *command.expected;
    }
    else
    {
        BOOST_LEAF_ASSIGN(change.expected, current_version(command));
    }
    return change;
}

boost::leaf::result<record_version>
operator_commands::current_version(operator_command const& command)
{
    BOOST_LEAF_AUTO(
        found, client_.query(
                   QStringLiteral("read"),
                   {{QStringLiteral("kind"), record_kind_word(*command.kind)},
                    {QStringLiteral("name"), command.name}}));
    bool const stands = found.value(QStringLiteral("outcome")).toString() ==
                        QLatin1String("found");
    // A record that stands is not to be created again: let it be a conflict.
    if (stands && command.verb == operator_verb::create)
    {
        return record_version(0);
    }
    return record_version(found.value(QStringLiteral("version")).toInteger());
}

boost::leaf::result<operator_exit>
operator_commands::answer(operator_command const& command,
                          QString const& method, QJsonObject const& parameters)
{
    BOOST_LEAF_AUTO(answer, client_.query(method, parameters));
    print(command, answer);
    auto const outcome = answer.value(QStringLiteral("outcome")).toString();
    bool const is_refused = outcome == QLatin1String("refused") ||
                            outcome == QLatin1String("absent");
    return is_refused ? operator_exit::refused : operator_exit::success;
}

void operator_commands::print(operator_command const& command,
                              QJsonObject const& object)
{
    output_(command.is_json ? json_output(object) : table_output(object));
}

void operator_commands::note_resend(operator_command const& command)
{
    notes_(QStringLiteral("The change may have been accepted. Send the same "
                          "command again with --change-id %1 "
                          "--expected-version %2.")
               .arg(command.id.value())
               .arg(sent_version_.value()));
}

} // namespace verbenacove
