package prove

import (
	"ledgespread/lab/scale"
	"ledgespread/lab/size"
)

// playScale runs the scale measurements and adopts their claims: lightweight stand-in sidecars behave like real
// ones, the growth of smaller fleets predicts the largest one, and the records of all sides add up.
func playScale(p *Proof) error {
	run, err := scale.DefaultRun(p.Quick)
	if err != nil {
		return err
	}
	run.Seed = p.Seed
	done, err := scale.Execute(run, scale.Options{Sidecar: p.Sidecar, Quick: p.Quick, Stop: p.Stop, OnProgress: p.Progress, Break: p.Break})
	if err != nil {
		return err
	}
	p.Sizes = done
	for _, claim := range done.Claims {
		p.claim(claim.Holds, claim.Claim, claim.Aim, claim.Account, "%s", claim.Measured)
	}
	p.note("which limit of the machine was met", "the lab's alarms, /proc/net/udp", "%s", done.Bound)
	for _, event := range done.Events {
		if event.Account != "" && (event.Unit == "us" || event.Name == "control.cpu_base") {
			p.note(event.Name+": "+event.What, event.Account, "%.3g %s, at most %.3g", event.Median, event.Unit, event.Last)
		}
	}
	for _, name := range []string{"peers.bytes_out", size.ControlCPU, "memory.idle_mb"} {
		if slope, there := done.Slope(name); there && slope.Largest != nil {
			p.note(slope.Name+": "+slope.What, slope.Account, "%.4g %s, foretold %.4g", slope.Largest.Measured, slope.Unit, slope.Largest.Predicted)
		}
	}
	return nil
}
