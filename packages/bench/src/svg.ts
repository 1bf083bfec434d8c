/**
 * Renders Vega plots to SVG without a display.
 *
 * @module
 */

import * as vega from "vega";

/** Renders the plot that `spec` describes. */
export async function toSvg(spec: vega.Spec): Promise<string> {
  const view = new vega.View(vega.parse(spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}
