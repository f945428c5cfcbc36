/** Public surface of the package. */
export { default as DESIGN_SIZE } from './lib/DESIGN_SIZE.js';
export { default as Figures } from './lib/Figures.js';
export { default as ITEMS } from './lib/ITEMS.js';
export { type default as Load } from './lib/Load.js';
export { type default as MeasuredItem } from './lib/MeasuredItem.js';
export { type default as Measurement } from './lib/Measurement.js';
export { type default as RoleLoad } from './lib/RoleLoad.js';
export { default as workOutRoles } from './lib/workOutRoles.js';
