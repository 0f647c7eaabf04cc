#ifndef RAGWORTPIN_BENCH_OVERLOAD_REPORT_H
#define RAGWORTPIN_BENCH_OVERLOAD_REPORT_H

#include <string>
#include <utility>
#include <vector>

namespace ragwortpin::bench {

/** A table of results. */
struct table
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/** Points (x, y) of one line of a chart. */
struct series
{
    std::string name;
    std::vector<std::pair<double, double>> points;
};

/** A line chart. */
struct line_chart
{
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<series> lines;
};

/** Results of an experiment. */
struct report
{
    std::vector<table> tables;
    std::vector<line_chart> charts;
};

/** Formats a number with the given number of digits after the decimal point. */
[[nodiscard]] std::string formatNumber(double value, int digits);

/** Formats a table as Markdown. */
[[nodiscard]] std::string toMarkdown(const table &content);

/** Formats tables as one JSON document; column headings become keys. */
[[nodiscard]] std::string toJson(const std::vector<table> &tables);

/** Formats charts, one below the other, as an SVG document. */
[[nodiscard]] std::string toSvg(const std::vector<line_chart> &charts);

} // namespace ragwortpin::bench

#endif
