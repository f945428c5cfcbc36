import type { FleetConfiguration } from '@dandelionlane/fleet';
import { OPERATOR_ROWS, encodeConfiguration } from '@dandelionlane/platform-adapter';
import type SoakTables from './SoakTables.js';

/** Puts a configuration in force, as an operator does. */
export default function writeConfiguration(
  tables: SoakTables,
  configuration: FleetConfiguration,
): Promise<void> {
  const { operatorTable, configurationKey } = OPERATOR_ROWS;
  return tables.write(operatorTable, configurationKey, encodeConfiguration(configuration));
}
