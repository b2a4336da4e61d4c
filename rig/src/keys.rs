//! Test certificates: a private authority and one certificate per site. Not for production use.

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum CertificateError {
    #[error("{0}")]
    Generate(#[from] rcgen::Error),
    #[error("{path}: {why}")]
    Write { path: PathBuf, why: std::io::Error },
}

pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    pub fn new() -> Result<Authority, CertificateError> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Ok(Authority { issuer: CertifiedIssuer::self_signed(params, KeyPair::generate()?)? })
    }

    /// Writes `SITE.pem`, `SITE.key` and `roots.pem` into the folder.
    pub fn write(&self, folder: &Path, site: &str) -> Result<(), CertificateError> {
        let key = KeyPair::generate()?;
        let certificate = CertificateParams::new(vec![site.to_owned()])?.signed_by(&key, &self.issuer)?;
        let write_file = |name: String, text: String| {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(|why| CertificateError::Write { path, why })
        };
        write_file(format!("{site}.pem"), certificate.pem())?;
        write_file(format!("{site}.key"), key.serialize_pem())?;
        write_file("roots.pem".to_owned(), self.issuer.pem())
    }
}
