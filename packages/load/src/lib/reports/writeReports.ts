import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { ServingError } from '@dandelionlane/core';
import { ResultAsync } from 'neverthrow';
import type LoadReport from './LoadReport.js';
import renderHTML from './renderHTML.js';
import renderText from './renderText.js';

const JSON_INDENT = 2;

async function writeAll(report: LoadReport, directory: string): Promise<void> {
  await mkdir(directory, { recursive: true });
  await writeFile(join(directory, 'report.txt'), renderText(report));
  await writeFile(join(directory, 'report.json'), `${JSON.stringify(report, null, JSON_INDENT)}\n`);
  await writeFile(join(directory, 'report.html'), renderHTML(report));
}

/** Writes `report.txt`, `report.json` and `report.html` into a directory. Error: `internal`. */
export default function writeReports(report: LoadReport, directory: string): ResultAsync<void, ServingError> {
  return ResultAsync.fromPromise(
    writeAll(report, directory),
    (cause) => new ServingError(`cannot write the report to ${directory}`, { kind: 'internal', cause }),
  );
}
