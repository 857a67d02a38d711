#ifndef VERBENACOVE_VERSION_RECORD_READER_HPP
#define VERBENACOVE_VERSION_RECORD_READER_HPP

#include <QJsonObject>
#include <QSet>
#include <QString>
#include <QStringList>

#include <optional>
#include <vector>

namespace verbenacove
{

/** One thing wrong in a record. */
struct record_error
{
    /** Where it stands, such as `timeout_ms` or `rules[2].class`. */
    QString key;
    /** What was given, as JSON and cut short; empty when nothing was. */
    QString value;
    /** What would be right, as a short sentence. */
    QString allowed;

    friend bool operator==(record_error const&, record_error const&) = default;

    /** Returns it on one line, as `KEY = VALUE: ALLOWED`. */
    QString text() const;
};

/** All that is wrong in a record; never empty when it is reported. */
struct record_errors
{
    std::vector<record_error> errors;

    /** Returns one line for each error. */
    QString text() const;
};

/** The error for a schema version that this program does not know. */
struct schema_unknown
{
    int schema = 0;
    /** The newest version that is known; older ones down to 1 are too. */
    int newest = 0;

    /** Returns it as a sentence. */
    QString text() const;
};

/** Returns true for 1 to 64 letters, digits, `-`, `_` or `.`. */
bool is_record_name(QString const& text);

/** Takes typed values out of a JSON object and collects all that is wrong.

    Read every known key, then call `finish`, which reports the keys that were
    never asked for. A key that is wrong yields a placeholder, so that reading
    goes on and all errors come at once.

    @see setting_reader
*/
class record_reader
{
public:
    /** Reads from an object.

        @param errors  where faults are added; must outlive the reader
        @param prefix  put before each key in errors, such as `rules[2].`
    */
    record_reader(QJsonObject object, record_errors& errors,
                  QString prefix = {});

    /** Returns a name; it must be given. */
    QString name(char const* key);

    /** Returns a list of at most so many names, each given once; it must be
        given and may not be empty. */
    QStringList names(char const* key, int most);

    /** Returns text that is 1 to so many characters long, all printable and
        none a space; it must be given. */
    QString word(char const* key, int longest);

    /** Returns text of at most so many characters, or none when the key is
        missing. */
    QString text(char const* key, int longest);

    /** Returns a whole number within the bounds; it must be given unless
        there is a fallback. */
    qint64 number(char const* key, qint64 lowest, qint64 highest,
                  std::optional<qint64> fallback = std::nullopt);

    /** Returns a number within the bounds; it must be given. */
    double real(char const* key, double lowest, double highest);

    /** Returns true or false, or the fallback when the key is missing. */
    bool flag(char const* key, bool fallback);

    /** Returns the position of the word given among those allowed, or 0 when
        it is not one of them; it must be given. */
    int choice(char const* key, QStringList const& allowed);

    /** Returns true when the key is given. */
    bool has(char const* key) const;

    /** Returns the object under a key, or an empty one; it must be given. */
    QJsonObject object(char const* key);

    /** Returns the objects of a list of at most so many; none when the key
        is missing. */
    std::vector<QJsonObject> objects(char const* key, int most);

    /** Reports a fault that only the caller can see. */
    void report(char const* key, QString const& allowed);

    /** Reports the keys that were never asked for. */
    void finish();

private:
    std::optional<QJsonValue> require(char const* key);
    void fail(QString const& key, QJsonValue const& value,
              QString const& allowed);

    QJsonObject object_;
    record_errors& errors_;
    QString prefix_;
    QSet<QString> known_keys_;
};

} // namespace verbenacove

#endif
