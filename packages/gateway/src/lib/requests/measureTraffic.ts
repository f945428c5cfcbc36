import type { ModelName } from '@dandelionlane/core';
import type ModelTraffic from '../choice/ModelTraffic.js';
import type TrafficMeter from '../choice/TrafficMeter.js';
import type AdmissionQueue from './AdmissionQueue.js';

/** Traffic of a model at this entry. */
export default function measureTraffic(
  { trafficMeter, admissionQueue }: {
    readonly trafficMeter: TrafficMeter;
    readonly admissionQueue: AdmissionQueue;
  },
  model: ModelName,
): ModelTraffic {
  return { ...trafficMeter.measure(model), ...admissionQueue.count(model) };
}
