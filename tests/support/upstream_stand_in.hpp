#ifndef VERBENACOVE_SUPPORT_UPSTREAM_STAND_IN_HPP
#define VERBENACOVE_SUPPORT_UPSTREAM_STAND_IN_HPP

#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/core/timer_service.hpp"

#include <QHash>
#include <QJsonArray>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QTcpServer>

#include <deque>
#include <memory>
#include <random>
#include <vector>

class QTcpSocket;

namespace verbenacove::support
{

/** How an upstream_stand_in treats a request whose body it has read. */
struct stand_in_behaviour
{
    /** What becomes of the request. */
    enum class ending
    {
        answer,
        /** The connection is closed, or reset, without an answer. */
        close,
        reset,
        /** Nothing comes; the slot stays taken until the caller closes. */
        silence,
        /** Half of the answer is sent, then the connection is closed. */
        half,
        /** 500 at once, without a slot. */
        fail
    };
    ending end = ending::answer;
    /** Added to the service time. */
    milliseconds slow{0};
    /** The load is reported as 0. */
    bool lies = false;
    /** A body that holds this ends the process once its run is logged. */
    QByteArray crash_marker = "crash-me";
};

/** Changes a behaviour by comma-separated words: `answer`, `close`, `reset`,
    `silence`, `half`, `fail`, `slow=MS`, `lie`, `honest`, `crash=MARKER`.

    @return false for an unknown word; the words before it have been applied
*/
bool apply_words(stand_in_behaviour& behaviour, QByteArray const& words);

/** The settings of an upstream_stand_in. */
struct stand_in_options
{
    QString id;
    QString service;
    QString region;
    QString zone;
    socket_address listen;
    /** The address that is announced; the one listened at when not set. */
    std::optional<socket_address> announced;
    /** The entries to announce to, in the order to try them. */
    std::vector<socket_address> entries;
    int slots_ = 5;
    int connections = 400;
    /** Requests that may wait for a slot; more are answered 503. */
    int queue_limit = 100;
    milliseconds service_time{1};
    /** The service time is drawn, with `service_time` as the mean. */
    bool is_exponential = false;
    quint32 seed = 1;
    qint64 incarnation = 1;
    /** Where each run is noted before its answer is sent; may be empty. */
    QString run_log;
    /** How long it serves at least after it announced `draining`. */
    milliseconds linger{0};
    stand_in_behaviour behaviour;
};

/** One line of a run log. */
struct logged_run
{
    qint64 monotonic_ns = 0;
    QByteArray key;
    QByteArray method;
    QByteArray path;
};

/** Returns the runs in a log, oldest first; none when there is no file. */
std::vector<logged_run> read_run_log(QString const& file);

/** Returns the padding of an answer, which differs by path and key. */
QByteArray answer_padding(QByteArray const& path, QByteArray const& key,
                          qsizetype size);

/** An upstream that runs requests, counts them and misbehaves on demand.

    `GET /health` as in the API. `POST /control` takes `{"behaviour": WORDS,
    "state": STATE, "service_ms": N}`, each optional. `GET /control/counts`
    tells `runs`, `runs_by_key`, `runs_by_path`, `cancelled`, `refused`,
    `connections` and `requests`, the last thousand with their deadline and
    trace context. Any other request is run; an `X-Stand-In` header changes
    the behaviour for it alone. Its answer holds `upstream`, `path`, `key`,
    `body_sha256`, `run` (this upstream's runs of the key, or of all without
    one), and `padding` for `?size=N`.

    Chunked requests are answered 411. Uses the thread it is created on.
*/
class upstream_stand_in
{
public:
    /** Listens and starts to announce itself. */
    explicit upstream_stand_in(stand_in_options options);
    ~upstream_stand_in();
    upstream_stand_in(upstream_stand_in const&) = delete;
    upstream_stand_in& operator=(upstream_stand_in const&) = delete;

    /** Returns false when the address could not be listened at. */
    bool is_listening() const { return server_.isListening(); }

    /** Announces `draining`, finishes what is in hand, then calls back. */
    void drain(std::function<void()> done);

private:
    struct request;
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    void accept_all();
    void read(connection_ptr const& from);
    void handle(connection_ptr const& from);
    void control(connection_ptr const& from);
    void queue(connection_ptr const& from);
    void run_next();
    void run(connection_ptr const& from);
    void finish(connection_ptr const& from);
    void release(connection_ptr const& from);
    void note_run(request& noted);
    bool end_early(connection_ptr const& from);
    void answer(connection_ptr const& to, int status, QJsonObject const& body);
    QByteArray answer_of(request const& from) const;
    QJsonObject counts() const;
    double load() const;
    milliseconds draw_service_time();

    void announce();
    void take_announce_result(bool is_ok, QJsonObject const& answer);
    bool has_work() const;
    void finish_drain();

    stand_in_options options_;
    QString state_ = QStringLiteral("serving");
    QTcpServer server_;
    timer_service timers_;
    std::mt19937 random_;
    std::deque<connection_ptr> waiting_;
    int running_ = 0;
    int run_log_ = -1;

    QHash<QByteArray, int> runs_by_key_;
    QHash<QByteArray, int> runs_by_path_;
    std::deque<QJsonObject> requests_;
    int runs_ = 0;
    int cancelled_ = 0;
    int refused_ = 0;
    int connections_ = 0;

    QNetworkAccessManager network_;
    timer_service::subscription next_announcement_;
    std::vector<socket_address> entries_;
    std::size_t entry_ = 0;
    std::size_t failures_in_row_ = 0;
    bool is_announcing_ = false;
    bool is_announcement_due_ = false;

    std::function<void()> drained_;
    monotonic_time drain_started_;
    bool has_announced_draining_ = false;
    timer_service::subscription drain_check_;
};

} // namespace verbenacove::support

#endif
