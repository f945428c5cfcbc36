import createLoad from './createLoad.js';
import type Figures from './Figures.js';
import type RoleLoad from './RoleLoad.js';
import workOutEntryControl from './workOutEntryControl.js';
import workOutEntryData from './workOutEntryData.js';
import workOutHolder from './workOutHolder.js';
import workOutStandby from './workOutStandby.js';
import workOutStore from './workOutStore.js';

/** Every role at the size to design for. */
export default function workOutRoles(figures: Figures): readonly RoleLoad[] {
  const entry = workOutEntryControl(figures);
  const standby = workOutStandby();
  const holder = workOutHolder(figures);
  return [
    workOutEntryData(figures),
    entry,
    holder,
    standby,
    ...workOutStore(entry, standby, holder),
    { role: 'command line', loads: [createLoad('one call a change; no state between calls', {})] },
  ];
}
