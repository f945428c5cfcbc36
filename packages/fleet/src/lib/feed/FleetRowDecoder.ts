import type { TableRow } from '@dandelionlane/core';
import type OperatorRow from './OperatorRow.js';
import type WorkerRow from './WorkerRow.js';

/** Table names and decoders of the rows that the platform's operators and workers write. */
export default interface FleetRowDecoder {
  readonly operatorTable: string;
  readonly workerTable: string;
  readOperatorRow(row: TableRow): OperatorRow;
  readWorkerRow(row: TableRow): WorkerRow;
}
