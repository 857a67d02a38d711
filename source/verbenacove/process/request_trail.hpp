#ifndef VERBENACOVE_PROCESS_REQUEST_TRAIL_HPP
#define VERBENACOVE_PROCESS_REQUEST_TRAIL_HPP

#include <QJsonObject>
#include <QSet>
#include <QString>

#include <vector>

class QIODevice;

namespace verbenacove
{

/** Collects from the processes' logs what happened to one request.

    Read all logs once with `add`, then again with `add_neighbours`, which adds
    what was said of the request's upstreams while it was under way.
*/
class request_trail
{
public:
    /** The most lines that are kept. */
    static constexpr std::size_t maximum_lines = 1000;

    explicit request_trail(QString id);

    /** Takes the request's own lines out of a log; other text is passed over.
     */
    void add(QIODevice& log);

    /** Takes the lines about the request's upstreams out of a log. */
    void add_neighbours(QIODevice& log);

    /** Returns whether the request was found. */
    bool is_found() const { return !lines_.empty(); }

    /** Returns the lines in the order of time, one sentence each, with times
        relative to the first. */
    QString text() const;

private:
    template <class Wanted>
    void take(QIODevice& log, Wanted is_wanted);

    QString id_;
    QSet<QString> upstreams_;
    std::vector<QJsonObject> lines_;
};

} // namespace verbenacove

#endif
