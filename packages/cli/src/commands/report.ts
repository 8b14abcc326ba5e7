import { string as stringFlag } from '@oclif/core/flags';
import type { MetricsReport } from '../metricsReport.js';
import { RemoteCommand } from '../remoteCommand.js';

/** Prints request durations and result counts. */
export class Report extends RemoteCommand {
  static override summary =
    'Show request durations by team and class, and result counts, for all entries.';
  static override flags = {
    svg: stringFlag({ description: 'also write a chart of the durations to this SVG file' }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Report);
    const { http } = await this.resolveTargets(flags, 'http');
    const { readReport } = await import('../metricsReport.js');
    const { reportLines } = await import('../metricsReportText.js');
    const report = await readReport(http);
    for (const line of reportLines(report)) this.log(line);
    if (flags.svg !== undefined) await this.writeChart(flags.svg, report);
    return report;
  }

  private async writeChart(path: string, report: MetricsReport): Promise<void> {
    const { writeFile } = await import('node:fs/promises');
    const { reportSvg } = await import('../metricsReportSvg.js');
    await writeFile(path, reportSvg(report));
  }
}
