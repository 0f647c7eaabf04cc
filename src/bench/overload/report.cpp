#include "bench/overload/report.h"

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <json/json.h>
#include <sstream>

namespace ragwortpin::bench {

namespace {

/** Dimensions of a chart in pixels. */
constexpr double ChartWidth{760.0};
constexpr double ChartHeight{300.0};
constexpr double PlotLeft{60.0};
constexpr double PlotRight{600.0};
constexpr double PlotTop{30.0};
constexpr double PlotBottom{250.0};
constexpr double LegendStep{18.0};
constexpr int Ticks{5};

constexpr const char *Colours[]{"#c0392b", "#e08e0b", "#2471a3", "#1e8449", "#6c3483"};

/** Largest values on the axes; both axes begin at 0. */
struct axis_limits
{
    double x{0.0};
    double y{0.0};
};

[[nodiscard]] axis_limits computeAxisLimits(const line_chart &chart)
{
    axis_limits limits;
    for (const auto &line : chart.lines) {
        for (const auto &[x, y] : line.points) {
            limits.x = std::max(limits.x, x);
            limits.y = std::max(limits.y, y);
        }
    }
    return axis_limits{std::max(limits.x, 1e-9), std::max(1.05 * limits.y, 1e-9)};
}

[[nodiscard]] double pixelX(double x, const axis_limits &limits) noexcept
{
    return PlotLeft + (PlotRight - PlotLeft) * x / limits.x;
}

[[nodiscard]] double pixelY(double y, const axis_limits &limits) noexcept
{
    return PlotBottom - (PlotBottom - PlotTop) * y / limits.y;
}

void writeText(std::ostream &out, double x, double y, const std::string &anchor, const std::string &text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text << "</text>\n";
}

void writeAxes(std::ostream &out, const line_chart &chart, const axis_limits &limits)
{
    out << "<path d=\"M" << PlotLeft << ' ' << PlotTop << " V" << PlotBottom << " H" << PlotRight << R"(" fill="none" stroke="#444"/>)"
        << '\n';
    for (int tick{0}; tick <= Ticks; ++tick) {
        const double part{static_cast<double>(tick) / Ticks};
        writeText(out, PlotLeft - 6.0, pixelY(part * limits.y, limits) + 4.0, "end", formatNumber(part * limits.y, 2));
        writeText(out, pixelX(part * limits.x, limits), PlotBottom + 16.0, "middle", formatNumber(part * limits.x, 1));
    }
    writeText(out, PlotLeft, PlotTop - 12.0, "start", chart.title + " (" + chart.yLabel + ")");
    writeText(out, (PlotLeft + PlotRight) / 2.0, PlotBottom + 34.0, "middle", chart.xLabel);
}

void writeLine(std::ostream &out, const series &line, std::size_t index, const axis_limits &limits)
{
    const char *colour{Colours[index % std::size(Colours)]};
    out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
    for (const auto &[x, y] : line.points) {
        out << pixelX(x, limits) << ',' << pixelY(y, limits) << ' ';
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
    for (std::size_t index{0}; index < charts.size(); ++index) {
        const axis_limits limits{computeAxisLimits(charts[index])};
        out << "<g transform=\"translate(0 " << ChartHeight * static_cast<double>(index) << ")\">\n";
        writeAxes(out, charts[index], limits);
        for (std::size_t line{0}; line < charts[index].lines.size(); ++line) {
            writeLine(out, charts[index].lines[line], line, limits);
        }
        out << "</g>\n";
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace ragwortpin::bench
