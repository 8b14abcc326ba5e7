import { formatFieldIssue, type FieldIssue } from '@burdockrail/common/fieldIssue.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { resultName, type ResultCode } from '@burdockrail/common/resultCode.js';

/** A failure that lists errors in individual fields. */
export class IssuesError extends ResultError {
  readonly issues: readonly FieldIssue[];

  constructor(code: ResultCode, issues: readonly FieldIssue[], detail?: string) {
    super(code, detail);
    this.name = 'IssuesError';
    this.issues = issues;
  }
}

/** JSON output for a failure. */
export interface FailureReport {
  readonly code: ResultCode;
  readonly name: string;
  readonly detail: string;
  readonly issues?: readonly (FieldIssue & { readonly name: string })[];
}

/** Converts a failure to its `--json` output. */
export function failureReport(error: ResultError): FailureReport {
  const report = { code: error.code, name: resultName(error.code), detail: error.message };
  if (!(error instanceof IssuesError)) return report;
  const issues = error.issues.map((issue) => ({ ...issue, name: resultName(issue.code) }));
  return { ...report, issues };
}

/** Formats a failure for the standard error stream: the result, then one line for each field. */
export function failureLines(error: ResultError): readonly string[] {
  const headline = `${error.code} ${resultName(error.code)}: ${error.message}`;
  if (!(error instanceof IssuesError)) return [headline];
  return [headline, ...error.issues.map((issue) => `  ${formatFieldIssue(issue)}`)];
}
