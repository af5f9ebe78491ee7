use base::mutex;
use rand::SeedableRng;
use serde_json::Value;

use crate::admit;
use crate::case;
use crate::content;
use crate::gateway;
use crate::host;

impl host::Host {
    /// Explains what this host would do with a request, as JSON. Nothing is sent, and no
    /// state of the host changes. Without the content, a request that is quarantined for
    /// its body is not recognized.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is not admitted.
    pub fn explain(
        &self,
        head: http::request::Parts,
        content: Option<&content::Content>,
    ) -> Result<Value, answer::Refusal> {
        let request = self.described(head, content)?;
        let rng = mutex::lock(&self.rng).clone();
        let explained = request.explain(&mutex::lock(&self.balancer), rng);
        let gateway = self.gateway_of(&request, &explained);
        Ok(request.answer(&explained, gateway.as_deref()))
    }

    /// Returns the request with what decides on it here, for a file from which the same
    /// explanation follows without this host. The random parts are those of a generator of
    /// its own, so that the file does not tell what the next decisions draw.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is not admitted.
    pub fn case(
        &self,
        head: http::request::Parts,
        content: Option<&content::Content>,
    ) -> Result<case::Case, answer::Refusal> {
        let request = self.described(head, content)?;
        let seed = rand::random();
        let (explained, state) = {
            let balancer = mutex::lock(&self.balancer);
            let rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
            let explained = request.explain(&balancer, rng);
            (explained, balancer.state(&request.service, &request.work))
        };
        let gateway = self.gateway_of(&request, &explained);
        Ok(case::Case::new(request, gateway, seed, state))
    }

    fn described(
        &self,
        head: http::request::Parts,
        content: Option<&content::Content>,
    ) -> Result<case::Request, answer::Refusal> {
        let mut job = admit::admit(self, head)?;
        let mut prompt = (!job.work.parts.is_empty()).then_some(case::Source::Headers);
        if let Some(content) = content {
            let is_used = content.complete(&mut job.work);
            prompt = prompt.or(is_used.then_some(case::Source::Body));
        }
        let now = self.clock.now();
        let fingerprint = content.map_or(0, |content| content.fingerprint);
        let verdict = mutex::lock(&self.quarantine).verdict(now, fingerprint);
        let part = self.poison_part(&job.work).map(case::Quarantine::Part);
        let whole = (verdict == route::Verdict::Poison).then_some(case::Quarantine::Request);
        Ok(case::Request {
            host: self.options.name.clone(),
            now,
            left: job.left(now),
            route: job.route.name,
            team: job.team,
            rank: job.rank.level(),
            urgency: job.rank.urgency(),
            target_first: job.route.target_first,
            plan: job.plan,
            quarantine: part.or(whole),
            is_cut_off: mutex::lock(&self.balancer).is_cut_off(&job.service),
            service: job.service,
            work: job.work,
            prompt,
        })
    }

    /// Returns the address of the host through which the request would go, if the endpoint
    /// is brittle and another host is its gateway.
    fn gateway_of(
        &self,
        request: &case::Request,
        explained: &steer::Explanation,
    ) -> Option<String> {
        let steer::Decision::Selected(pick) = &explained.decision else {
            return None;
        };
        let is_brittle = mutex::lock(&self.balancer).is_brittle(request.now, &request.service);
        let gateways = is_brittle.then(|| self.gateways(pick))?;
        match gateways.first()? {
            gateway::Gateway::Other(address) => Some(address.to_string()),
            gateway::Gateway::Own => None,
        }
    }
}
