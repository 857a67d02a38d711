#include "verbenacove/process/operator_client.hpp"
#include "verbenacove/process/operator_commands.hpp"
#include "verbenacove/process/operator_output.hpp"
#include "verbenacove/process/operator_service.hpp"
#include "verbenacove/version/config_store.hpp"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpSocket>
#include <QTemporaryDir>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <future>
#include <mutex>
#include <thread>

using namespace verbenacove;

namespace
{

/** What a fake control replica does with the next change. */
enum class fault
{
    none,
    /** It cannot reach a majority. */
    no_quorum,
    /** It applies the change and says that the time ran out. */
    answer_lost,
    /** It says that the time ran out, and applies nothing. */
    proposal_lost,
    /** Another replica leads. */
    follower
};

/** A control replica that holds a store and has faults. */
class fake_backend : public control_backend
{
public:
    std::mutex mutex;
    config_store store;
    fault next = fault::none;
    /** How many changes have the fault. */
    int faults = 0;
    std::optional<socket_address> leader;
    int submissions = 0;
    milliseconds delay{0};

    boost::leaf::result<QCborMap> submit(QCborMap const& change,
                                         milliseconds) override
    {
        std::this_thread::sleep_for(delay);
        std::scoped_lock const lock(mutex);
        ++submissions;
        auto const now = faults > 0 ? next : fault::none;
        faults -= faults > 0 ? 1 : 0;
        switch (now)
        {
        case fault::no_quorum:
            return boost::leaf::new_error(no_quorum());
        case fault::follower:
            return boost::leaf::new_error(not_leader{leader});
        case fault::proposal_lost:
            return boost::leaf::new_error(outcome_unknown());
        case fault::answer_lost:
            store.apply(change, log_index(submissions));
            return boost::leaf::new_error(outcome_unknown());
        case fault::none:
            break;
        }
        return store.apply(change, log_index(submissions));
    }

    boost::leaf::result<QCborMap> query(QCborMap const& question,
                                        milliseconds) override
    {
        std::scoped_lock const lock(mutex);
        return store.query(question);
    }
};

/** A control replica's door on a free port. */
struct door
{
    explicit door(operator_connector_limits limits = {})
        : connector({QHostAddress(QHostAddress::LocalHost), 0}, limits)
        , service(connector, backend)
    {
        REQUIRE(service.StartListening());
    }

    socket_address address() const
    {
        return {QHostAddress(QHostAddress::LocalHost), connector.port()};
    }

    fake_backend backend;
    operator_connector connector;
    operator_service service;
};

/** Two control replicas and a client that knows the first. */
class operator_fixture
{
public:
    door first;
    door second;
    operator_client client{{.controls = {first.address()},
                            .timeout = milliseconds(600),
                            .try_timeout = milliseconds(400),
                            .pause = milliseconds(20)}};
    QString output;
    QString notes;

    static config_change create(char const* id)
    {
        config_change change;
        change.id = change_id(QString::fromLatin1(id));
        change.author = QStringLiteral("amina");
        change.name = QStringLiteral("ledger");
        change.schema = 1;
        change.record = {{QStringLiteral("name"), change.name},
                         {QStringLiteral("class"), QStringLiteral("batch")},
                         {QStringLiteral("timeout_ms"), 100},
                         {QStringLiteral("max_body_bytes"), 10}};
        return change;
    }

    void set_fault(fault kind, int times)
    {
        first.backend.next = kind;
        first.backend.faults = times;
        first.backend.leader = second.address();
    }

    /** Returns what a change came to, or the name of its error. */
    QString ending_of(config_change const& change)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<QString>
            {
                BOOST_LEAF_AUTO(result, client.change(change));
                return change_outcome_word(result.outcome);
            },
            [](control_unreachable const&)
            { return QStringLiteral("unreachable"); },
            [](outcome_unknown const&) { return QStringLiteral("unknown"); },
            [](request_invalid const& error)
            { return QStringLiteral("invalid: ") + error.reasons; },
            [] { return QStringLiteral("another error"); });
    }

    /** Runs a command line; returns its exit code. */
    int run(QStringList words)
    {
        words += {QStringLiteral("--control"), first.address().text()};
        std::vector<QByteArray> bytes;
        bytes.reserve(static_cast<std::size_t>(words.size()) + 1);
        bytes.emplace_back("verbenactl");
        for (auto const& word : words)
        {
            bytes.push_back(word.toLocal8Bit());
        }
        std::vector<char*> arguments;
        arguments.reserve(bytes.size());
        for (auto& word : bytes)
        {
            arguments.push_back(word.data());
        }
        output.clear();
        notes.clear();
        auto const code = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<operator_exit>
            {
                BOOST_LEAF_AUTO(line, parse_operator_command_line(
                                          static_cast<int>(arguments.size()),
                                          arguments.data()));
                operator_commands commands(
                    client, [this](QString const& text) { output += text; },
                    [this](QString const& text) { notes += text; });
                return commands.run(line.command);
            },
            [this](command_line_error const& error)
            {
                notes = error.text;
                return operator_exit::usage;
            },
            [] { return operator_exit::usage; });
        return static_cast<int>(code);
    }

    int run(char const* words)
    {
        return run(QString::fromLatin1(words).split(QLatin1Char(' ')));
    }
};

/** Sends bytes to a door; returns all that comes back until it closes. */
QByteArray exchange(socket_address const& address, QByteArray const& bytes)
{
    QTcpSocket socket;
    socket.connectToHost(address.host, address.port);
    REQUIRE(socket.waitForConnected(2000));
    socket.write(bytes);
    while (socket.state() == QAbstractSocket::ConnectedState &&
           socket.waitForReadyRead(3000))
    {
    }
    return socket.readAll();
}

QByteArray post(QByteArray const& body)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
           "Content-Length: " +
           QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

QByteArray call(char const* method, char const* parameters)
{
    return post(QByteArray(R"({"jsonrpc": "2.0", "id": 1, "method": ")") +
                method + R"(", "params": )" + parameters + "}");
}

} // namespace

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: replica leads: change is accepted")
{
    CHECK(ending_of(create("c1")) == QStringLiteral("accepted"));
    CHECK(ending_of(create("c2")) == QStringLiteral("conflict"));
    CHECK(first.backend.store.version() == config_version(1));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: another replica leads: follows to it")
{
    set_fault(fault::follower, 1000);
    CHECK(ending_of(create("c1")) == QStringLiteral("accepted"));
    CHECK(second.backend.store.version() == config_version(1));
    CHECK(first.backend.store.version() == config_version(0));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: two replicas name each other: gives up")
{
    set_fault(fault::follower, 1000);
    second.backend.next = fault::follower;
    second.backend.faults = 1000;
    second.backend.leader = first.address();
    CHECK(ending_of(create("c1")) == QStringLiteral("unreachable"));
    CHECK(first.backend.submissions < 200);
}

// The last try was cut off by the time that was left, so that a change that no
// replica had taken counted as undecided.
TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: replicas that refuse are slow: no try is "
                  "begun that cannot end")
{
    set_fault(fault::follower, 1000);
    second.backend.next = fault::follower;
    second.backend.faults = 1000;
    second.backend.leader = first.address();
    first.backend.delay = milliseconds(160);
    second.backend.delay = milliseconds(160);
    CHECK(ending_of(create("c1")) == QStringLiteral("unreachable"));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: answer lost: resends and gets the result")
{
    set_fault(fault::answer_lost, 1);
    CHECK(ending_of(create("c1")) == QStringLiteral("accepted"));
    CHECK(first.backend.submissions == 2);
    CHECK(first.backend.store.version() == config_version(1));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: no quorum: surely not accepted")
{
    set_fault(fault::no_quorum, 1000);
    CHECK(ending_of(create("c1")) == QStringLiteral("unreachable"));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: lost, then no quorum: outcome is unknown")
{
    set_fault(fault::proposal_lost, 1);
    CHECK(ending_of(create("c1")) == QStringLiteral("accepted"));
    set_fault(fault::proposal_lost, 1000);
    CHECK(ending_of(create("c2")) == QStringLiteral("unknown"));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: replica answers too late: unknown, and a "
                  "later resend gets the first result")
{
    first.backend.delay = milliseconds(700);
    CHECK(ending_of(create("c1")) == QStringLiteral("unknown"));
    first.backend.delay = milliseconds(0);
    first.connector.stop_accepting();
    while (first.connector.active_requests() > 0)
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(first.backend.store.version() == config_version(1));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operator client: malformed change: refused with its faults")
{
    auto change = create("c 1");
    CHECK(ending_of(change).startsWith(
        QStringLiteral("invalid: change_id = \"c 1\": must be")));
}

TEST_CASE("operators' door: bad input: clear refusal, and it goes on")
{
    door tested({.connections = 4,
                 .body_bytes = 4096,
                 .silence = std::chrono::seconds(1)});
    auto const address = tested.address();
    CHECK(exchange(address, "GET / HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\n\r\n")
              .startsWith("HTTP/1.1 405"));
    CHECK(exchange(address, "POST / HTTP/1.1\r\nHost: a\r\n"
                            "Content-Length: 99999999\r\n\r\n")
              .startsWith("HTTP/1.1 413"));
    CHECK(exchange(address, "POST / HTTP/1.1\r\nHost: a\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n1400\r\n" +
                                QByteArray(5120, 'x') + "\r\n0\r\n\r\n")
              .isEmpty());
    CHECK(exchange(address, "GET / HTTP/1.1\r\nA: " + QByteArray(99999, 'x') +
                                "\r\n\r\n")
              .startsWith("HTTP/1.1 4"));
    exchange(address, QByteArray(2000, '\0') + "\r\n\r\n");
    CHECK(exchange(address, post("{\"a\": ")).contains("-32700"));
    CHECK(exchange(address, post("{\"a\":" + QByteArray(3000, '[')))
              .startsWith("HTTP/1.1 400"));
    CHECK(exchange(address, post("[]")).startsWith("HTTP/1.1 400"));
    CHECK(exchange(address, post("")).startsWith("HTTP/1.1 400"));
    CHECK(exchange(address, post("{}")).contains("-32600"));
    CHECK(exchange(address, call("fly", "{}")).contains("-32601"));
    for (auto const* parameters :
         {"{}", "[1]", R"({"change": 7})", R"({"change": {}})",
          R"({"change": {}, "colour": 1})", R"({"timeout_ms": "x"})"})
    {
        CAPTURE(parameters);
        CHECK(exchange(address, call("change", parameters)).contains("-32602"));
    }
    CHECK(exchange(address, call("drain", R"({"scope": "moon"})"))
              .contains("must be one of upstream, zone, region"));
    CHECK(exchange(address, call("read", "{}")).contains("change-invalid"));
    CHECK(exchange(address, call("list", R"({"kind": "service"})"))
              .contains(R"("outcome":"found")"));
    CHECK(tested.backend.submissions == 0);
}

TEST_CASE("operators' door: more connections than allowed: refused till one "
          "ends")
{
    door tested({.connections = 2, .silence = std::chrono::seconds(1)});
    auto const address = tested.address();
    QTcpSocket idle[3];
    for (auto& socket : idle)
    {
        socket.connectToHost(address.host, address.port);
        REQUIRE(socket.waitForConnected(2000));
    }
    // Silent ones are closed after a second, and then there is room again.
    for (auto& socket : idle)
    {
        CHECK((socket.state() == QAbstractSocket::UnconnectedState ||
               socket.waitForDisconnected(5000)));
    }
    QByteArray answer;
    for (int tries = 0; tries < 50 && answer.isEmpty(); ++tries)
    {
        std::this_thread::sleep_for(milliseconds(100));
        answer = exchange(address, call("list", R"({"kind": "service"})"));
    }
    CHECK(answer.startsWith("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operators' door: stops in the middle of a change: answers")
{
    first.backend.delay = milliseconds(300);
    auto ending = std::async(std::launch::async,
                             [this] { return ending_of(create("c1")); });
    while (first.connector.active_requests() == 0)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    first.connector.stop_accepting();
    QTcpSocket late;
    late.connectToHost(first.address().host, first.address().port);
    CHECK_FALSE(late.waitForConnected(1000));
    while (first.connector.active_requests() > 0)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    first.connector.StopListening();
    CHECK(ending.get() == QStringLiteral("accepted"));
    CHECK(first.backend.submissions == 1);
}

TEST_CASE_FIXTURE(operator_fixture,
                  "operators' door: drain and undrain: change the record")
{
    auto const drain =
        R"({"scope": "zone", "target": "wcape-a", "change_id": "c1",
            "author": "amina", "expected_version": 0})";
    CHECK(exchange(first.address(), call("drain", drain))
              .contains(R"("outcome":"accepted")"));
    auto const undrain =
        R"({"scope": "zone", "target": "wcape-a", "change_id": "c2",
            "author": "amina", "expected_version": 1})";
    CHECK(exchange(first.address(), call("undrain", undrain))
              .contains(R"("version":2)"));
}

TEST_CASE_FIXTURE(operator_fixture,
                  "commands: a record's life: each ends with its exit code")
{
    QTemporaryDir folder;
    auto const name = folder.filePath(QStringLiteral("r.json"));
    QFile file(name);
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(R"({"schema": 1, "name": "ledger", "class": "batch",
                   "timeout_ms": 100, "max_body_bytes": 10})");
    file.close();
    QStringList const from_file{QStringLiteral("--file"), name};
    auto const write = [&](char const* words)
    {
        return run(QString::fromLatin1(words).split(QLatin1Char(' ')) +
                   from_file);
    };
    CHECK(run("read service ledger") == 4);
    CHECK(write("create service ledger --author bilal") == 0);
    CHECK(notes.startsWith(QStringLiteral("change id ")));
    CHECK(write("create service ledger") == 3);
    CHECK(output.contains(QStringLiteral("bilal")));
    CHECK(write("change service ledger") == 0);
    CHECK(write("change service ledger --expected-version 1 --change-id x") ==
          3);
    CHECK(write("change service ledger --schema 2") == 2);
    CHECK(write("change service dispatch") == 4);
    CHECK(run("read service ledger --output json") == 0);
    auto const read = QJsonDocument::fromJson(output.toUtf8()).object();
    CHECK(read.value(QStringLiteral("version")).toInt() == 2);
    CHECK(read.value(QStringLiteral("record"))
              .toObject()
              .contains(QStringLiteral("retry")));
    CHECK(run("read service ledger --output json --schema 1") == 0);
    CHECK_FALSE(output.contains(QStringLiteral("retry")));
    CHECK(run("read service ledger --schema 9") == 4);
    CHECK(output.contains(QStringLiteral("schema version 9 is not known")));
    CHECK(run("delete service ledger") == 0);
    CHECK(run("delete service ledger") == 4);
    CHECK(write("create service ledger") == 0);
    CHECK(run("drain upstream ledger-1") == 0);
    CHECK(run("list drain") == 0);
    CHECK(output.contains(QStringLiteral("upstream:ledger-1")));
    CHECK(run("undrain upstream ledger-1") == 0);
    CHECK(run("history service ledger") == 0);
    CHECK(output.count(QStringLiteral("put")) == 3);
    CHECK(run("status") == 4);
}

TEST_CASE_FIXTURE(operator_fixture,
                  "commands: control out of reach or answer lost: 5 or 6")
{
    set_fault(fault::no_quorum, 1000);
    CHECK(run("drain zone wcape-a") == 5);
    set_fault(fault::proposal_lost, 1000);
    CHECK(run("drain zone wcape-a --change-id c7 --expected-version 0") == 6);
    CHECK(
        notes.contains(QStringLiteral("--change-id c7 --expected-version 0")));
}

TEST_CASE_FIXTURE(operator_fixture, "command line: wrong: one line, exit 2")
{
    std::pair<char const*, char const*> const lines[] = {
        {"fly", "fly: unknown command; see --help"},
        {"list", "list: must be followed by KIND"},
        {"list moon", "moon: must be one of service, place"},
        {"read service a b", "read: must be followed by KIND NAME"},
        {"create drain a", "drain: use the commands drain and undrain"},
        {"create service a", "--file is missing"},
        {"list service --file x", "--file is only for create and change"},
        {"drain moon a", "moon a: must be upstream, zone or region"},
        {"delete service a --change-id x", "--change-id needs"},
        {"list service --schema x", "--schema x: must be a whole number"},
        {"list service --limit 0", "--limit 0: must be a whole number"},
        {"list service --output xml", "--output xml: must be json or table"},
        {"list service --control x", "--control"},
        {"list service --timeout 0", "--timeout 0"},
        {"delete service a --author a\tb", "--author a\tb: must be 1 to 64"},
        {"list service --colour", "--colour: unknown option"},
        {"change service a --file /nowhere", "/nowhere: cannot be read"}};
    for (auto const& [words, expected] : lines)
    {
        auto const* line = words;
        CAPTURE(line);
        CHECK(run(line) == 2);
        CHECK(notes.startsWith(QString::fromLatin1(expected)));
        CHECK_FALSE(notes.contains(QLatin1Char('\n')));
    }
}

TEST_CASE("table output: members and lists: lines and aligned columns")
{
    QJsonObject const object{
        {QStringLiteral("version"), 3},
        {QStringLiteral("rows"),
         QJsonArray{QJsonObject{{QStringLiteral("a"), QStringLiteral("long")},
                                {QStringLiteral("b"), 1}},
                    QJsonObject{{QStringLiteral("b"), 22}}}}};
    CHECK(table_output(object) ==
          QStringLiteral("version  3\n\nrows:\na     b\nlong  1\n-     22\n"));
}
