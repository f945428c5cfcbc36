import allocationRowItem from './items/allocationRowItem.js';
import homesItem from './items/homesItem.js';
import homeTableItem from './items/homeTableItem.js';
import membershipItem from './items/membershipItem.js';
import memberTableItem from './items/memberTableItem.js';
import placementRowItem from './items/placementRowItem.js';
import plannerItem from './items/plannerItem.js';
import processItem from './items/processItem.js';
import releaseStateItem from './items/releaseStateItem.js';
import reportExchangeItem from './items/reportExchangeItem.js';
import reportItem from './items/reportItem.js';
import routingItem from './items/routingItem.js';
import type MeasuredItem from './MeasuredItem.js';

/** All that is measured, in order. The baseline of the process comes first. */
const ITEMS: readonly MeasuredItem[] = [
  processItem,
  reportItem,
  reportExchangeItem,
  placementRowItem,
  allocationRowItem,
  homeTableItem,
  releaseStateItem,
  homesItem,
  memberTableItem,
  routingItem,
  plannerItem,
  membershipItem,
];

export default ITEMS;
