#ifndef VERBENACOVE_CORE_SETTING_READER_HPP
#define VERBENACOVE_CORE_SETTING_READER_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ini_document.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <QHash>
#include <QSet>

#include <optional>
#include <vector>

namespace verbenacove
{

/** Takes typed values out of an INI document and collects all that is wrong.

    Read every known key, then call `finish`, which also reports the keys and
    sections that were never asked for. A key that is wrong yields a
    placeholder, so that reading goes on and all errors come at once.
*/
class setting_reader
{
public:
    /** Reads from a document, which must outlive the reader. */
    explicit setting_reader(ini_document const& document);

    /** Returns a name of letters, digits, `-`, `_` and `.`, 1 to 64 long. */
    QString name(char const* section, char const* key);

    /** Returns free text, or the fallback when the key is missing. */
    QString text(char const* section, char const* key, QString const& fallback);

    /** Returns a whole number within the bounds, or the fallback. */
    qint64 number(char const* section, char const* key, qint64 fallback,
                  qint64 lowest, qint64 highest);

    /** Returns a number within the bounds, or the fallback. */
    double fraction(char const* section, char const* key, double fallback,
                    double lowest, double highest);

    /** Returns all keys and values of a section whose keys are names of the
        operator's own. */
    QHash<QString, QString> section(char const* section);

    /** Returns a duration written as `250 ms`, `2.5 s` or `5 min`. */
    milliseconds duration(char const* section, char const* key,
                          milliseconds fallback, milliseconds lowest,
                          milliseconds highest);

    /** Returns a size in bytes written as `64 KiB`, `1 MiB` or `512 B`. */
    qint64 size(char const* section, char const* key, qint64 fallback,
                qint64 lowest, qint64 highest);

    /** Returns an address such as `127.0.0.1:7000`; it must be given. */
    socket_address address(char const* section, char const* key);

    /** Returns the addresses of a comma-separated list, each given once. */
    std::vector<socket_address> addresses(char const* section, char const* key);

    /** Returns the least severe lines to log: debug, info, warn or error;
        info when the key is missing. */
    log_level level(char const* section, char const* key);

    /** Reports a fault that only the caller can see, at a key's line. */
    void report(char const* section, char const* key, QString const& allowed);

    /** Returns nothing when all was right, or else all the errors. */
    boost::leaf::result<void> finish();

private:
    ini_entry const* find(char const* section, char const* key);
    ini_entry const* require(char const* section, char const* key);
    void fail(ini_entry const& entry, QString const& allowed);
    template <class Value, class Parse>
    Value bounded(ini_entry const* entry, Value fallback, Value lowest,
                  Value highest, Parse parse, QString const& allowed);
    std::optional<qint64>
    scaled(ini_entry const& entry,
           std::vector<std::pair<QString, qint64>> const& units);

    ini_document const& document_;
    QSet<QString> known_keys_;
    QSet<QString> known_sections_;
    setting_errors failures_;
};

} // namespace verbenacove

#endif
