#include "bench/overload/report.h"

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <json/json.h>
#include <sstream>

namespace ragwortpin::bench {

namespace {

/** Sizes of a diagram in pixels. */
constexpr double ChartWidth{760.0};
constexpr double ChartHeight{300.0};
constexpr double PlotLeft{60.0};
constexpr double PlotRight{600.0};
constexpr double PlotTop{30.0};
constexpr double PlotBottom{250.0};
constexpr double LegendStep{18.0};
constexpr int Ticks{5};

constexpr const char *Colours[]{"#c0392b", "#e08e0b", "#2471a3", "#1e8449", "#6c3483"};

/** Largest values on the axes; both begin at 0. */
struct extent
{
    double x{0.0};
    double y{0.0};
};

[[nodiscard]] extent extentOf(const line_chart &chart)
{
    extent largest;
    for (const auto &line : chart.lines) {
        for (const auto &[x, y] : line.points) {
            largest.x = std::max(largest.x, x);
            largest.y = std::max(largest.y, y);
        }
    }
    return extent{std::max(largest.x, 1e-9), std::max(1.05 * largest.y, 1e-9)};
}

[[nodiscard]] double pixelX(double x, const extent &largest) noexcept
{
    return PlotLeft + (PlotRight - PlotLeft) * x / largest.x;
}

[[nodiscard]] double pixelY(double y, const extent &largest) noexcept
{
    return PlotBottom - (PlotBottom - PlotTop) * y / largest.y;
}

void writeText(std::ostream &out, double x, double y, const std::string &anchor, const std::string &text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text << "</text>\n";
}

void writeAxes(std::ostream &out, const line_chart &chart, const extent &largest)
{
    out << "<path d=\"M" << PlotLeft << ' ' << PlotTop << " V" << PlotBottom << " H" << PlotRight << R"(" fill="none" stroke="#444"/>)"
        << '\n';
    for (int tick{0}; tick <= Ticks; ++tick) {
        const double part{static_cast<double>(tick) / Ticks};
        writeText(out, PlotLeft - 6.0, pixelY(part * largest.y, largest) + 4.0, "end", formatNumber(part * largest.y, 2));
        writeText(out, pixelX(part * largest.x, largest), PlotBottom + 16.0, "middle", formatNumber(part * largest.x, 1));
    }
    writeText(out, PlotLeft, PlotTop - 12.0, "start", chart.title + " (" + chart.yLabel + ")");
    writeText(out, (PlotLeft + PlotRight) / 2.0, PlotBottom + 34.0, "middle", chart.xLabel);
}

void writeLine(std::ostream &out, const series &line, std::size_t index, const extent &largest)
{
    const char *colour{Colours[index % std::size(Colours)]};
    out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
    for (const auto &[x, y] : line.points) {
        out << pixelX(x, largest) << ',' << pixelY(y, largest) << ' ';
    }
    out << "\"/>\n";
    const double y{PlotTop + LegendStep * static_cast<double>(index)};
    out << "<path d=\"M" << PlotRight + 15.0 << ' ' << y << " h20\" stroke-width=\"2\" stroke=\"" << colour << "\"/>\n";
    writeText(out, PlotRight + 40.0, y + 4.0, "start", line.name);
}

} // namespace

std::string formatNumber(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string toMarkdown(const table &content)
{
    std::ostringstream out;
    out << "### " << content.title << "\n\n|";
    for (const auto &column : content.columns) {
        out << ' ' << column << " |";
    }
    out << "\n|";
    for (std::size_t column{0}; column < content.columns.size(); ++column) {
        out << " --- |";
    }
    out << '\n';
    for (const auto &row : content.rows) {
        out << '|';
        for (const auto &cell : row) {
            out << ' ' << cell << " |";
        }
        out << '\n';
    }
    return out.str();
}

std::string toJson(const std::vector<table> &tables)
{
    Json::Value document{Json::arrayValue};
    for (const auto &content : tables) {
        Json::Value entry;
        entry["title"] = content.title;
        entry["rows"] = Json::arrayValue;
        for (const auto &row : content.rows) {
            Json::Value cells;
            for (std::size_t column{0}; column < row.size(); ++column) {
                cells[content.columns[column]] = row[column];
            }
            entry["rows"].append(cells);
        }
        document.append(entry);
    }
    return document.toStyledString();
}

std::string toSvg(const std::vector<line_chart> &charts)
{
    std::ostringstream out;
    const double height{ChartHeight * static_cast<double>(charts.size())};
    out << R"(<svg xmlns="http://www.w3.org/2000/svg" font-family="sans-serif" font-size="11" width=")" << ChartWidth << "\" height=\""
        << height << "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (std::size_t place{0}; place < charts.size(); ++place) {
        const extent largest{extentOf(charts[place])};
        out << "<g transform=\"translate(0 " << ChartHeight * static_cast<double>(place) << ")\">\n";
        writeAxes(out, charts[place], largest);
        for (std::size_t line{0}; line < charts[place].lines.size(); ++line) {
            writeLine(out, charts[place].lines[line], line, largest);
        }
        out << "</g>\n";
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace ragwortpin::bench
