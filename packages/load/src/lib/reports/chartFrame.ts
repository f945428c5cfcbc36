/** Drawing area of the charts, in SVG units. */
const chartFrame = {
  width: 720,
  height: 260,
  left: 60,
  right: 12,
  top: 12,
  bottom: 34,
} as const;

export default chartFrame;
