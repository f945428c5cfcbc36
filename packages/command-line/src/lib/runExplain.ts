import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import type Terminal from './Terminal.js';
import explainRequest from './explain/explainRequest.js';
import parseLog from './explain/parseLog.js';
import readFileText from './readFileText.js';

/** `explain`: reconstructs the course of a request from log files, without contacting any entry. */
export default function runExplain(
  terminal: Terminal,
  request: string,
  fileNames: readonly string[],
): ResultAsync<void, Failure> {
  const logs = ResultAsync.combine(fileNames.map((fileName) => (
    readFileText(fileName).map((text) => parseLog(text, fileName))
  )));
  return logs.andThen((parsed) => {
    const records = parsed.flat();
    const lines = explainRequest(records, request);
    if (lines.length === 0) {
      return errAsync({
        exitCode: EXIT_CODES.refused,
        message: `no line tells of request ${request} in ${records.length} lines of ${fileNames.length} files: `
          + 'its entry\'s log is missing, it was not read, or lines were dropped',
      });
    }
    terminal.writeLine(lines.join('\n'));
    return okAsync(undefined);
  });
}
