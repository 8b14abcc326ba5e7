import { string as textFlag } from '@oclif/core/flags';
import type { MetricsReport } from '../metricsReport.js';
import { RemoteCommand } from '../remoteCommand.js';

/** Shows the durations and results of requests. */
export class Report extends RemoteCommand {
  static override summary = 'Show durations by team and class, and results, of all entries.';
  static override flags = {
    svg: textFlag({ description: 'also draw the durations into this SVG file' }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Report);
    const { http } = await this.targets(flags, 'http');
    const { readReport } = await import('../metricsReport.js');
    const { reportLines } = await import('../metricsReportText.js');
    const report = await readReport(http);
    for (const line of reportLines(report)) this.log(line);
    if (flags.svg !== undefined) await this.draw(flags.svg, report);
    return report;
  }

  private async draw(path: string, report: MetricsReport): Promise<void> {
    const { writeFile } = await import('node:fs/promises');
    const { reportSvg } = await import('../metricsReportSvg.js');
    await writeFile(path, reportSvg(report));
  }
}
