import { expect, test } from 'vitest';
import CONTROL_BUDGET from '../lib/CONTROL_BUDGET.js';
import createLoad from '../lib/createLoad.js';
import createPlacement from '../lib/createPlacement.js';
import createReport from '../lib/createReport.js';
import DESIGN_SIZE from '../lib/DESIGN_SIZE.js';
import Figures from '../lib/Figures.js';
import formatTable from '../lib/formatTable.js';
import sumLoads from '../lib/sumLoads.js';
import workOutReports from '../lib/workOutReports.js';

test('size follows from the plan', () => {
  expect(DESIGN_SIZE).toMatchObject({
    replicas: 3_000, replicasPerEntry: 12, vmsPerEntry: 48, entriesPerRegion: 69, workersPerRegion: 1_091,
  });
  expect(CONTROL_BUDGET.microsecondsPerSecond).toBe(27_000);
});

test('figure that was not measured is an error', () => {
  const figures = new Figures([{ name: 'known', value: 3, unit: 'B' }]);
  expect(figures.of('known')).toBe(3);
  expect(() => figures.of('unknown')).toThrow(RangeError);
});

test('loads of a role add up', () => {
  const sum = sumLoads([
    createLoad('first', { bytesPerSecond: 2, storeReadsPerSecond: 1 }),
    createLoad('second', { bytesPerSecond: 3, memoryBytes: 5 }),
  ]);
  expect(sum).toMatchObject({ bytesPerSecond: 5, storeReadsPerSecond: 1, memoryBytes: 5 });
});

test('reports cost what the figures say', () => {
  const figures = new Figures([
    { name: 'reportExchange.bytes', value: 500, unit: 'B' },
    { name: 'reportExchange.bothEnds', value: 100, unit: 'us' },
    { name: 'report.decodeAndCheck', value: 2, unit: 'us' },
    { name: 'homeTable.perVM', value: 300, unit: 'B' },
  ]);
  expect(workOutReports(figures, 'reports', 48, 1)).toMatchObject({
    messagesPerSecond: 96, bytesPerSecond: 24_000, microsecondsPerSecond: 48 * 52, memoryBytes: 14_400,
  });
});

test('samples of one replica belong together', () => {
  const [replica] = createPlacement(5).replicas;
  replica!.members.forEach(({ vm }, member) => {
    expect(createReport((5 * 4) + member)).toMatchObject({ vm, replica: replica!.replica });
  });
});

test('columns of a table line up', () => {
  expect(formatTable(['', 'a'], [['long', '1'], ['x', '22']])).toBe('       a\nlong   1\nx     22');
});
