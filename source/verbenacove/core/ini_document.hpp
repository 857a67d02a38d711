#ifndef VERBENACOVE_CORE_INI_DOCUMENT_HPP
#define VERBENACOVE_CORE_INI_DOCUMENT_HPP

#include <QString>

#include <boost/leaf/result.hpp>

#include <vector>

namespace verbenacove
{

/** One thing wrong in a settings file. */
struct setting_error
{
    QString file;
    /** The line in the file, from 1; 0 when the whole file is meant. */
    int line = 0;
    QString section;
    QString key;
    QString value;
    /** What would be right, as a short sentence. */
    QString allowed;

    /** Returns it all on one line, as `FILE:LINE: [section] key = value: …`. */
    QString text() const;
};

/** All that is wrong in a settings file; never empty. */
struct setting_errors
{
    std::vector<setting_error> errors;

    /** Returns one line for each error. */
    QString text() const;
};

/** One `key = value` line of a settings file. */
struct ini_entry
{
    int line = 0;
    QString section;
    QString key;
    QString value;
};

/** The lines of an INI file, each with its number.

    Neither QSettings nor Boost's property tree says at which line a key
    stands, and both merge a key that is given twice, so the project reads
    the lines itself.
*/
struct ini_document
{
    QString file;
    std::vector<ini_entry> entries;
};

/** Reads INI text: sections, `key = value`, and comments after `;` or `#` at
    the start of a line.

    @return the document, or setting_errors for lines that are none of these,
            and for keys that stand twice in a section
*/
boost::leaf::result<ini_document> parse_ini(QString const& file,
                                            QString const& text);

/** Reads an INI file of at most 1 MiB; an unreadable one is an error.

    @see parse_ini
*/
boost::leaf::result<ini_document> load_ini(QString const& file);

} // namespace verbenacove

#endif
